Feature: Calls to backend servers

  Scenario Outline: A complete answer is distinguished from one that is cut
    Given a server that answers "<head>" and "<body>" and closes
    When a <method> is sent
    Then the result is <result>

    Examples:
      | method | head              | body                     | result           |
      | GET    | Content-Length: 5 | hello                    | complete "hello" |
      | GET    | Content-Length: 9 | hello                    | cut "hello"      |
      | GET    | Content-Length: 0 |                          | complete ""      |
      | HEAD   | Content-Length: 5 |                          | complete ""      |
      | POST   | TE: chunked       | 5\r\nhello\r\n0\r\n\r\n  | complete "hello" |
      | POST   | TE: chunked       | 5\r\nhello\r\n           | cut "hello"      |
      | POST   | TE: chunked       | 9\r\nhello               | cut "hello"      |
      | POST   | TE: chunked       | 5\r\nhello\r\n9          | cut "hello"      |
      | POST   | TE: chunked       | zz\r\nhello\r\n0\r\n\r\n | cut ""           |
      | POST   | X: no length      | hello                    | unknown          |
      | POST   |                   |                          | unknown          |

  Scenario Outline: An answer without a length may end when its connection closes
    Given a server that answers "<head>" and "hello" and <ends>
    When a POST is sent whose answer may end with the connection
    Then the result is <result>

    Examples:
      | head              | ends   | result           |
      | X: no length      | closes | complete "hello" |
      | X: no length      | resets | cut "hello"      |
      | Content-Length: 9 | closes | cut "hello"      |

  Scenario Outline: An idle connection is closed before the server's keep-alive timeout
    Then after an answer with "<header>" the connection may be idle for <seconds> s

    Examples:
      | header                        | seconds |
      | X: none                       | 3.0     |
      | Keep-Alive: timeout=2         | 1.0     |
      | Keep-Alive: max=5, timeout=60 | 3.0     |
      | Keep-Alive: timeout=1         | 0.0     |
      | Keep-Alive: timeout=9999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999 | 3.0 |

  Scenario: Interim responses are skipped
    Given a server that sends 103 before "hello"
    When a GET is sent
    Then the result is complete "hello"

  Scenario: Repeated headers, their case and compressed bodies pass unchanged
    Given a server that answers "X-A: 1\r\nx-a: 2\r\nContent-Encoding: gzip\r\nContent-Length: 2" and "zz" and closes
    When a GET is sent with headers "x-b: 1" and "x-b: 2"
    Then the result is complete "zz"
    And the answer has headers "X-A: 1", "x-a: 2" and "Content-Encoding: gzip"
    And the server received headers "x-b: 1" and "x-b: 2"

  Scenario: Redirects are not followed
    Given a server that answers "Location: /x\r\nContent-Length: 0" and "" and closes
    When a GET is sent
    Then the server received 1 requests

  Scenario: A refused connection means that nothing was sent
    Given a server that is not listening
    When a POST is sent
    Then the result is not-run

  Scenario: A connection that times out means that nothing was sent
    Given a server whose connection backlog is full
    When a POST is sent
    Then the result is not-run

  Scenario Outline: An unresponsive server is detected by a timeout
    Given a server that stops sending after "<sent>"
    When a POST is sent
    Then the result is <result>

    Examples:
      | sent                                            | result    |
      |                                                 | unknown   |
      | HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhel | cut "hel" |

  Scenario Outline: Only idempotent requests reuse connections
    Given a server that keeps connections open
    When 3 <kind> requests are sent one after the other
    Then the server accepted <count> connections

    Examples:
      | kind       | count |
      | pooled     | 1     |
      | not pooled | 3     |

  Scenario: Unsolicited bytes are not delivered to any caller
    Given a server that appends a second answer to its first
    When 2 pooled requests are sent one after the other
    Then every request gets its own answer
    And the server accepted 2 connections

  Scenario: A late answer on an idle connection is not delivered to any caller
    Given a server that sends a second answer later
    When a pooled request is sent, then another after the late answer
    Then every request gets its own answer
    And the server accepted 2 connections

  Scenario: A connection that the server closed while idle is reported as stale
    Given a server that closes its open connection at the second request
    When 2 pooled requests are sent one after the other
    Then the second request failed as stale

  # Guards against callers that wait until their deadline for a refusal that is there.
  Scenario Outline: A refusal that comes before a long body is read is returned at once
    Given a server that answers <status> and "hello" before it reads the body, and <then>
    When a pooled POST with a body of 8 MiB is sent, then another with an empty body
    Then the result is complete "hello"
    And the other one got a connection of its own

    Examples:
      | status | then          |
      | 503    | waits         |
      | 421    | waits         |
      | 500    | waits         |
      | 503    | reads on late |

  Scenario: Closing an answer early closes its connection
    Given a server that streams without end
    When a POST is sent and its answer is closed after the first chunk
    Then the connection is closed at the server

  Scenario: A large body arrives unchanged
    Given a server that echoes the body
    When a POST of 3000000 bytes is sent
    Then the same bytes are returned

  # Guards against a request on a connection that its server has closed meanwhile: a busy
  # event loop takes it before it runs the timer that would close it.
  Scenario: A connection that was idle for too long isn't used in a late event loop
    Given a pool with a connection that may be idle for 3 s
    When the event loop takes a connection 4 s later, before it has run any timer
    Then it gets none, and the connection is closed
