Feature: Calls to backend servers

  Scenario Outline: An answer is whole or visibly not
    Given a server that answers "<head>" and "<body>" and closes
    When a <method> is sent
    Then the caller sees <result>

    Examples:
      | method | head              | body                        | result        |
      | GET    | Content-Length: 5 | hello                       | whole "hello" |
      | GET    | Content-Length: 9 | hello                       | cut "hello"   |
      | GET    | Content-Length: 0 |                             | whole ""      |
      | HEAD   | Content-Length: 5 |                             | whole ""      |
      | POST   | TE: chunked       | 5\r\nhello\r\n0\r\n\r\n     | whole "hello" |
      | POST   | TE: chunked       | 5\r\nhello\r\n              | cut "hello"   |
      | POST   | TE: chunked       | 9\r\nhello                  | cut "hello"   |
      | POST   | TE: chunked       | 5\r\nhello\r\n9             | cut "hello"   |
      | POST   | TE: chunked       | zz\r\nhello\r\n0\r\n\r\n    | cut ""        |
      | POST   | X: no length      | hello                       | unknown       |
      | POST   |                   |                             | unknown       |

  Scenario Outline: An answer without a length that may end with its connection
    Given a server that answers "<head>" and "hello" and <ends>
    When a POST is sent whose answer may end with its connection
    Then the caller sees <result>

    Examples:
      | head              | ends   | result        |
      | X: no length      | closes | whole "hello" |
      | X: no length      | resets | cut "hello"   |
      | Content-Length: 9 | closes | cut "hello"   |

  Scenario Outline: An idle connection is kept no longer than the server says
    Then an answer with "<header>" leaves its connection idle for <seconds> s

    Examples:
      | header                     | seconds |
      | X: none                    | 3.0     |
      | Keep-Alive: timeout=2      | 1.0     |
      | Keep-Alive: max=5, timeout=60 | 3.0  |
      | Keep-Alive: timeout=1      | 0.0     |

  Scenario: Interim answers are passed over
    Given a server that sends 103 before "hello"
    When a GET is sent
    Then the caller sees whole "hello"

  Scenario: Equal names, case and compression pass unchanged
    Given a server that answers "X-A: 1\r\nx-a: 2\r\nContent-Encoding: gzip\r\nContent-Length: 2" and "zz" and closes
    When a GET is sent with headers "x-b: 1" and "x-b: 2"
    Then the caller sees whole "zz"
    And the answer has headers "X-A: 1", "x-a: 2" and "Content-Encoding: gzip"
    And the server saw "x-b: 1" and "x-b: 2"

  Scenario: Redirects are not followed
    Given a server that answers "Location: /x\r\nContent-Length: 0" and "" and closes
    When a GET is sent
    Then the server saw 1 requests

  Scenario: A refused connection means that nothing left
    Given a server that is gone
    When a POST is sent
    Then the caller sees not-run

  Scenario: A server that accepts nothing means that nothing left
    Given a server whose queue of connections is full
    When a POST is sent
    Then the caller sees not-run

  Scenario Outline: A silent server is found by timeout
    Given a server that goes silent after "<sent>"
    When a POST is sent
    Then the caller sees <result>

    Examples:
      | sent                                              | result      |
      |                                                   | unknown     |
      | HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhel   | cut "hel"   |

  Scenario Outline: Connections are shared by idempotent requests only
    Given a server that keeps connections
    When 3 <kind> requests are sent one after the other
    Then the server saw <count> connections

    Examples:
      | kind          | count |
      | pooled        | 1     |
      | not pooled    | 3     |

  Scenario: Bytes that no request asked for reach no caller
    Given a server that adds a second answer to its first
    When 2 pooled requests are sent one after the other
    Then every answer is its own
    And the server saw 2 connections

  Scenario: A late answer on an idle connection reaches no caller
    Given a server that sends a second answer later
    When a pooled request is sent, then another after the late answer
    Then every answer is its own
    And the server saw 2 connections

  Scenario: A connection that the server closed while idle is known as stale
    Given a server that closes its kept connection at the second request
    When 2 pooled requests are sent one after the other
    Then the second failed as stale

  Scenario: Giving up an answer closes its connection
    Given a server that streams without end
    When a POST is sent and given up after its first chunk
    Then the server saw its connection close

  Scenario: A large body arrives unchanged
    Given a server that echoes
    When a POST of 3000000 bytes is sent
    Then the same bytes come back
