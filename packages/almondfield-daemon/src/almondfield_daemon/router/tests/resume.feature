Feature: An event stream is resumed over a new connection

  Background:
    Given a router with servers "s1", "s2" and "s3"
    And the servers resume streams

  Scenario Outline: A stream cut at any point is delivered completely and once
    Given a stream of 3 events is cut after <count> bytes
    When a POST is served
    Then each of 3 events arrived once and complete
    And the stream was resumed after event "<last>"

    Examples:
      | count | last |
      | 15    | 1    |
      | 20    | 1    |
      | 44    | 2    |

  Scenario: A cut of a stream without identifiers is reported
    Given a stream without identifiers is cut
    When a POST is served
    Then the answer is cut
    And servers "s1" were called

  Scenario: A cut is reported if the server cannot resume the stream
    Given a stream of 3 events is cut after 20 bytes
    And the server answers 404 to the resume request
    When a POST is served
    Then the answer is cut
    And every slot is released

  # Guards against an error's text that joins a stream at the same server, and against a
  # stream that ends as if it were complete.
  Scenario Outline: A cut is reported if the resume request gets something else than the rest
    Given a stream of 3 events is cut after 20 bytes
    And the server sends <parts> to the resume request
    When a POST is served
    Then the answer is cut
    And every slot is released

    Examples:
      | parts                        |
      | no event                     |
      | an error's text              |
      | an error's text, and event 2 |
      | event 3                      |
      | a comment                    |

  Scenario: A stream that makes no progress is abandoned
    Given every stream is cut after its first event
    When a POST is served
    Then the answer is cut
    And 4 calls were made

  Scenario: Random cuts and chunk sizes leave every event complete
    Then streams with random cuts and chunks deliver each event once and complete
