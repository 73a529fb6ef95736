Feature: Listeners refuse invalid requests before an application runs

  Scenario Outline: A malformed or oversized head gets a typed answer
    Given a listener that allows heads of 1024 bytes
    When a client sends "<head>"
    Then the status is <status>
    And the answer reports that the request was not run
    And the application received 0 requests

    Examples:
      | head                                                 | status |
      | GARBAGE                                              | 400    |
      | GET /\xff\xfe HTTP/1.1\r\n\r\n                       | 400    |
      | POST / HTTP/1.1\r\ncontent-length: minus one\r\n\r\n | 400    |
      | GET / HTTP/1.1\r\nx: {long}                          | 431    |

  Scenario: A well-formed request reaches the application
    Given a listener that allows heads of 1024 bytes
    When a client sends "GET / HTTP/1.1\r\nhost: a\r\n\r\n"
    Then the status is 200
    And the application received 1 requests

  Scenario: The error for a port in use names the address and port
    Given a listener that allows heads of 1024 bytes
    When its port is bound a second time
    Then the error names the address and port
