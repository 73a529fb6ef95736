Feature: A server whose answer goes on without end is let go

  # Guards against a head without end that a router keeps in memory until the deadline.
  Scenario Outline: A server that sends a head without end is let go
    Given a server that sends "<start>" and then "<piece>" without end
    When a request is sent to it
    Then the result is unknown
    And the server was let go after at most 4 times 8192 bytes

    Examples:
      | start                    | piece                            |
      | HTTP/1.1 200 OK\r\n      | X-A: aaaaaaaaaaaaaaaaaaaaaaaa\r\n  |
      | HTTP/1.1 200 OK\r\nX-A:  | aaaaaaaaaaaaaaaaaaaaaaaa         |
      | HTTP/1.1 200 OK\r\n      | aaaaaaaaaaaaaaaaaaaaaaaa         |
      | HTTP/1.1 200 OK         | aaaaaaaaaaaaaaaaaaaaaaaa         |
      | HTTP/1.1 103 OK\r\n\r\n  | HTTP/1.1 103 OK\r\nX: a\r\n\r\n  |
      | HTTP/1.1 103 OK\r\n      | X-A: aaaaaaaaaaaaaaaaaaaaaaaa\r\n  |
      |                          | \r\n                             |

  # Guards against a limit on heads that depends on how a head is split into packets.
  Scenario Outline: The longest head that is accepted has the length of the limit
    Given a server that answers a head of <size> bytes, <interim>, in pieces of <piece> bytes
    When a request is sent to it
    Then the result is <result>

    Examples:
      | size | interim                     | piece | result   |
      | 8192 | without interim responses   | 1000  | complete |
      | 8192 | without interim responses   | 20000 | complete |
      | 8193 | without interim responses   | 1000  | unknown  |
      | 8193 | without interim responses   | 1024  | unknown  |
      | 8193 | without interim responses   | 20000 | unknown  |
      | 8192 | with two interim responses  | 20000 | complete |
      | 8193 | with two interim responses  | 20000 | unknown  |

  Scenario: An answer whose head is longer than the limit is the server's failure
    Given a server that answers a head of 9000 bytes, without interim responses, in pieces of 20000 bytes
    When a request is sent to it
    Then the failure names the limit and is told to callers as 502

  # Guards against bytes that belong to no request and are read without end.
  Scenario Outline: A server that sends without end where no answer is due is let go
    Given a server that sends "<start>" and then "<piece>" without end
    When a pooled request is sent to it
    Then the result is complete
    And the server was let go after at most 4 times 8192 bytes

    Examples:
      | start                                      | piece            |
      | HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n | aaaaaaaaaaaaaaaa |
      | HTTP/1.1 204 OK\r\n\r\n                      | aaaaaaaaaaaaaaaa |
      | HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n | \r\n             |

  Scenario: A server that sends without end on an idle connection is let go
    Given a server that sends without end on a connection that is kept
    When a pooled request is sent to it
    Then the result is complete
    And the server was let go after at most 4 times 8192 bytes

  # Guards against an answer that is held in memory while its caller reads slowly.
  Scenario Outline: A server that sends a body without end that nobody reads is paused
    Given a server that sends "<start>" and then "<piece>" without end
    When a request is sent to it and its answer isn't read
    Then the server is paused after at most 4 times 262144 bytes

    Examples:
      | start                                               | piece             |
      | HTTP/1.1 200 OK\r\n\r\n                               | aaaaaaaaaaaaaaaa  |
      | HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n | 4\r\naaaa\r\n     |
