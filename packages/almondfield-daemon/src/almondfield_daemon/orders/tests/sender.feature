@sockets
Feature: Orders go to backend servers over HTTP

  Scenario Outline: The status of the answer decides
    Given a backend server that answers orders with <status>
    When a load of "writing" with fencing number 7 is sent to it
    Then the outcome is <outcome>
    And the server got token "secret" and fencing number 7 once

    Examples:
      | status | outcome         |
      | 200    | OrderAccepted   |
      | 202    | OrderAccepted   |
      | 409    | StaleFencing    |
      | 422    | OrderRefused    |
      | 503    | OrderUnanswered |

  Scenario: A server that closes without an answer leaves the outcome open
    Given a backend server that closes each connection
    When a load of "writing" with fencing number 7 is sent to it
    Then the outcome is OrderUnanswered

  Scenario: A server that never answers leaves the outcome open
    Given a backend server that never answers
    When a load of "writing" with fencing number 7 is sent to it
    Then the outcome is OrderUnanswered

  Scenario: A server that isn't there leaves the outcome open
    Given no backend server
    When a load of "writing" with fencing number 7 is sent to it
    Then the outcome is OrderUnanswered
