Feature: A request that is refused by its head gets one whole answer

  Background:
    Given a listener whose gate refuses paths below /no/, and bodies of at most 10 bytes

  # Guards against bytes that are no answer, and against refused requests that are served.
  Scenario Outline: What a client gets for requests that it sends at once
    When a client sends "<requests>" at once
    Then it gets answers with <statuses> and nothing else
    And its connection is <state>
    And the application received <served> requests

    Examples:
      | requests                   | statuses    | state  | served |
      | refused                    | 503         | open   | 0      |
      | refused with 5 bytes       | 503         | open   | 0      |
      | refused with 5 in chunks   | 503         | open   | 0      |
      | refused, accepted          | 503 200     | open   | 1      |
      | refused, refused, accepted | 503 503 200 | open   | 1      |
      | refused with 50 bytes      | 503         | closed | 0      |
      | refused with 50, accepted  | 503         | closed | 0      |
      | refused to close, accepted | 503         | closed | 0      |

  # Guards against a timer of an earlier refusal that closes a connection in use.
  Scenario: No timer is left behind by refusals
    When a client sends "refused, refused, refused" at once
    Then the listener has at most 1 timer of the connection

  # Guards against an answer of the listener's own for a caller that left.
  Scenario: A caller that leaves gets no further answer
    When a client sends "accepted and slow" and closes its side of the connection
    Then it gets no answer
    And no library complains
