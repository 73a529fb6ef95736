Feature: Listeners refuse what no application should see

  Scenario Outline: A malformed or long head gets a typed answer and no application
    Given a listener that allows heads of 1024 bytes
    When a client sends "<head>"
    Then the status is <status>
    And the answer says that the request was not run
    And the application has seen 0 requests

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
    And the application has seen 1 requests

  Scenario: A port in use is one clear line
    Given a listener that allows heads of 1024 bytes
    When its port is bound again
    Then the error names the address and port
