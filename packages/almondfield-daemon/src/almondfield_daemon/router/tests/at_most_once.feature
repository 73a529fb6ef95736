Feature: Requests that are not repeatable are sent at most once

  Background:
    Given a router with servers "s1", "s2" and "s3"

  Scenario Outline: After bytes may have been sent, only idempotent methods are retried
    Given calls fail with <failure> after sending
    When a <method> is served
    Then the problem is <status> with outcome "unknown"
    And servers "<servers>" were called

    Examples:
      | method | failure    | status | servers  |
      | POST   | first-byte | 504    | s1       |
      | POST   | stream     | 502    | s1       |
      | GET    | first-byte | 504    | s1 s2 s3 |

  Scenario: A request of which no byte was sent is retried on another server
    Given one call fails with connect before sending
    When a POST is served
    Then it is answered
    And servers "s1 s2" were called
    And every call used a new connection

  Scenario: A retried idempotent request uses a new connection
    Given one call fails with first-byte after sending
    When a GET is served
    Then it is answered
    And servers "s1 s2" were called
    And the last call used a new connection

  Scenario: An idle connection that the server had closed is replaced
    Given one call finds its pooled connection closed
    When a GET is served
    Then it is answered
    And servers "s1 s1" were called

  Scenario: The outcome stays unknown when no second slot becomes free
    Given one call fails with first-byte after sending
    And no slot becomes free after the first
    When a GET is served
    Then the problem is 504 with outcome "unknown"

  Scenario: Retries after failures stay within the retry budget
    Given calls fail with first-byte after sending
    When 200 GETs are served
    Then at most 230 calls were made
    And every slot is released

  Scenario: An attempt of which no byte was sent uses no retry budget
    Given calls fail with connect before sending
    When 200 GETs are served
    Then 600 calls were made
    And every slot is released

  Scenario: A table change applies to a request that is waiting
    Given the route changes to pool "writing" while the request waits
    When a POST is served
    Then it is answered
    And slots of pools "sales writing" were requested

  Scenario: A waiting request is not sent once the tables are stale
    Given the tables become stale while the request waits
    When a POST is served
    Then the problem is 503 with outcome "not-run"
    And no server was called
    And every slot is released
