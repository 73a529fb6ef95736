Feature: Requests that come before the answer to an earlier one

  Background:
    Given a listener whose gate refuses paths below /no/, and bodies of at most 10 bytes

  # Guards against LOST: the limit on heads counted the bytes of an earlier request that
  # came in the same read, and a sound request behind a large body got no answer.
  Scenario Outline: A head of which a part comes with an earlier body isn't called too large
    When a client sends "<requests>" and a part of a head at once, and the rest later
    Then it gets answers with <statuses> and nothing else
    And its connection is open

    Examples:
      | requests                            | statuses    |
      | accepted with 5000                  | 200 200     |
      | accepted with 5000 in chunks        | 200 200     |
      | accepted with 5000, accepted        | 200 200 200 |
      | refused with 5 bytes, accepted with 5000 | 503 200 200 |

  # Guards against heads without a limit behind an earlier request.
  Scenario: An oversized head behind a body ends the connection after the answer
    When a client sends "accepted with 5000" and a part of an oversized head at once, and the rest later
    Then it gets answers with 200 431 and nothing else
    And its connection is closed

  # Guards against a caller that fills a router's memory with requests that wait: each
  # request that was served read more of them.
  Scenario: Few requests wait on a connection whose caller sends them without end
    When a client sends 100000 requests that take 0.01 s each without a pause
    Then at most 6000 requests wait

  # Guards against LOST: a head whose rest lies unread behind many requests comes too late.
  Scenario: Many requests behind one that takes long all get answers
    When a client sends a request that takes 0.5 s, and 12000 others without a pause, and heads have to come within 0.1 s
    Then it gets 12001 answers

  # Guards against a caller that fills a router's memory with fields behind a body, which
  # were kept as headers of its request without a limit.
  Scenario: Fields behind a body are no headers of a request
    When a client sends a body with 10000 fields behind it
    Then it gets answers with 200 and nothing else
    And at most 3 headers are kept
