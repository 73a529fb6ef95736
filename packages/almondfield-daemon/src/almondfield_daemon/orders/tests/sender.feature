@sockets
Feature: Orders go to backend servers over HTTP

  Scenario Outline: The status of the answer determines the outcome
    Given a backend server that answers orders with <status>
    When an order to load "writing" with fencing number 7 is sent
    Then the outcome is <outcome>
    And the server received token "secret" and fencing number 7 once

    Examples:
      | status | outcome         |
      | 200    | OrderAccepted   |
      | 202    | OrderAccepted   |
      | 409    | StaleFencing    |
      | 422    | OrderRefused    |
      | 503    | OrderUnanswered |

  Scenario: The outcome is unknown if a server closes the connection without an answer
    Given a backend server that closes each connection
    When an order to load "writing" with fencing number 7 is sent
    Then the outcome is OrderUnanswered

  Scenario: The outcome is unknown if a server never answers
    Given a backend server that never answers
    When an order to load "writing" with fencing number 7 is sent
    Then the outcome is OrderUnanswered

  Scenario: The outcome is unknown if there is no server at the address
    Given no backend server
    When an order to load "writing" with fencing number 7 is sent
    Then the outcome is OrderUnanswered

  # Guards against a reply to an order that grows in memory until the order's timeout.
  Scenario Outline: A server that answers an order without end is let go
    Given a backend server that answers orders with <part> without end
    When an order to load "writing" with fencing number 7 is sent
    Then the outcome is <outcome>
    And the server was let go after at most 4 times 32768 bytes

    Examples:
      | part             | outcome         |
      | header fields    | OrderUnanswered |
      | one header field | OrderUnanswered |
      | a body           | OrderAccepted   |
