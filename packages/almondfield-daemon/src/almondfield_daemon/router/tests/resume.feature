Feature: An event stream goes on over a new connection

  Background:
    Given a router with servers "s1", "s2" and "s3"
    And the servers resume streams

  Scenario Outline: A stream cut anywhere is delivered once and whole
    Given a stream of 3 events is cut after <count> bytes
    When a POST is served
    Then each of 3 events came once and whole
    And the stream was resumed after event "<last>"

    Examples:
      | count | last |
      | 15    | 1    |
      | 20    | 1    |
      | 44    | 2    |

  Scenario: A stream without identifiers is cut visibly
    Given a stream without identifiers is cut
    When a POST is served
    Then the answer is cut
    And servers "s1" were called

  Scenario: A server that can't resume leaves the cut visible
    Given a stream of 3 events is cut after 20 bytes
    And the server answers 404 to resuming
    When a POST is served
    Then the answer is cut
    And every slot is released

  Scenario: Streams that never go on are given up
    Given every stream is cut after its first event
    When a POST is served
    Then the answer is cut
    And 4 calls were made

  Scenario: Any cuts and any chunks leave the events whole
    Then streams with random cuts and chunks deliver each event once and whole
