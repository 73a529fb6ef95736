Feature: A request that may not be repeated is sent at most once

  Background:
    Given a router with servers "s1", "s2" and "s3"

  Scenario Outline: Failure after a byte may have left is final
    Given calls end with <failure> after sending
    When a <method> is served
    Then the problem is <status> with outcome "unknown"
    And servers "<servers>" were called

    Examples:
      | method | failure    | status | servers  |
      | POST   | first-byte | 504    | s1       |
      | POST   | stream     | 502    | s1       |
      | GET    | first-byte | 504    | s1 s2 s3 |

  Scenario: A request of which no byte left goes to another server
    Given one call ends with connect before sending
    When a POST is served
    Then it is answered
    And servers "s1 s2" were called
    And every call had a connection of its own

  Scenario: A repeated idempotent request takes a new connection
    Given one call ends with first-byte after sending
    When a GET is served
    Then it is answered
    And servers "s1 s2" were called
    And the last call had a connection of its own

  Scenario: An idle connection that the server had closed is replaced
    Given one call finds its pooled connection closed
    When a GET is served
    Then it is answered
    And servers "s1 s1" were called

  Scenario: The outcome stays unknown when no second slot comes free
    Given one call ends with first-byte after sending
    And no slot comes free after the first
    When a GET is served
    Then the problem is 504 with outcome "unknown"

  Scenario: Failures multiply requests by no more than the retry budget
    Given calls end with first-byte after sending
    When 200 GETs are served
    Then at most 230 calls were made
    And every slot is released

  Scenario: An attempt of which no byte left costs no retry budget
    Given calls end with connect before sending
    When 200 GETs are served
    Then 600 calls were made
    And every slot is released

  Scenario: Tables that change while a request waits decide its pool
    Given the route changes to pool "writing" while the request waits
    When a POST is served
    Then it is answered
    And pools "sales writing" were asked

  Scenario: Tables that grow stale while a request waits stop it
    Given the tables grow stale while the request waits
    When a POST is served
    Then the problem is 503 with outcome "not-run"
    And servers "" were called
    And every slot is released
