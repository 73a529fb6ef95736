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

  # Guards against a chunk or a trailer without end, which no timeout between two parts of
  # a body ends if the router waits for the whole answer.
  Scenario Outline: A server that sends framing of chunks without end is let go
    Given a server that sends "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n<start>" and then "<piece>" without end
    When a request is sent to it
    Then the result is cut "<body>"
    And the server was let go after at most 4 times 4096 bytes

    Examples:
      | start                | piece                            | body  |
      | 5;                   | aaaaaaaaaaaaaaaaaaaaaaaa         |       |
      | 5\r\nhello\r\n5;a=b  | aaaaaaaaaaaaaaaaaaaaaaaa         | hello |
      | 5\r\nhello\r\n0;     | aaaaaaaaaaaaaaaaaaaaaaaa         | hello |
      | 0                    | 0                                |       |
      | 5\r\nhello\r\n0\r\n  | X-A: aaaaaaaaaaaaaaaaaaaaaaaa\r\n  | hello |
      | 0\r\nX-A:            | aaaaaaaaaaaaaaaaaaaaaaaa         |       |

  Scenario Outline: Framing of chunks is limited however it is split into packets
    Given a server that sends <framing> of <size> bytes in pieces of <piece> bytes
    When a request is sent to it
    Then the result is <result>

    Examples:
      | framing                 | size | piece | result   |
      | two chunk-size lines    | 4096 | 1000  | complete |
      | two chunk-size lines    | 4096 | 20000 | complete |
      | two chunk-size lines    | 8200 | 1000  | cut      |
      | two chunk-size lines    | 8200 | 20000 | cut      |
      | a trailer section       | 4096 | 1000  | complete |
      | a trailer section       | 4096 | 20000 | complete |
      | a trailer section       | 8200 | 1000  | cut      |
      | a trailer section       | 8200 | 20000 | cut      |
      | many short chunks       | 9000 | 1000  | complete |
      | many short chunks       | 9000 | 20000 | complete |

  # Guards against an event without end, which routers hold until it is complete.
  Scenario Outline: A server that sends an event without end is let go
    Given a server that sends "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n<start>" and then "<piece>" without end
    When a request is sent to it whose answer may end with the connection
    Then the result is cut
    And the server was let go after at most 4 times 16384 bytes

    Examples:
      | start                                              | piece                |
      | \r\ndata: a\n\n                                    | data: aaaaaaaaa\n    |
      | \r\ndata:                                          | aaaaaaaaaaaaaaaa     |
      | \r\n                                               | : comment\n          |
      | \r\n                                               | data: aaaaaaaaa\r\n  |
      | Content-Length: 99999999\r\n\r\n                   | aaaaaaaaaaaaaaaa     |
      | Transfer-Encoding: chunked\r\n\r\n                 | 8\r\naaaaaaaa\r\n    |

  Scenario Outline: An event is limited however it is split into packets
    Given a server that sends events of 100, <size> and 100 bytes in pieces of <piece> bytes
    When a request is sent to it whose answer may end with the connection
    Then the result is <result>

    Examples:
      | size  | piece  | result   |
      | 16384 | 1000   | complete |
      | 16384 | 100    | complete |
      | 16384 | 100000 | complete |
      | 16385 | 1000   | cut      |
      | 16385 | 100    | cut      |
      | 16385 | 100000 | cut      |

  Scenario: A long stream of short events is passed on
    Given a server that sends 1000 events of 1000 bytes
    When a request is sent to it whose answer may end with the connection
    Then the result is complete

  # Guards against a count of framing that depends on the packets, or that never ends.
  Scenario: The limits on heads and framing hold for any packets
    Then heads of 90 to 110 bytes and trailers of 30 to 90 bytes are limited in any packets

  Scenario Outline: A body that is longer than every limit is passed on
    Given a server that answers 1000000 bytes framed by <framing>
    When a POST is sent whose answer may end with the connection
    Then the result is complete
    And the same bytes are returned

    Examples:
      | framing    |
      | length     |
      | one chunk  |
      | chunks     |
      | connection |

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
      | HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n | aaaaaaaaaaaaaaaa |
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
