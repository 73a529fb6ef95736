Feature: An answer whose head its server cuts is no answer

  # Guards against MIXED and ORDER: a 200 with an empty or short body that looks whole, as a
  # server stopped in the middle of its head.
  Scenario Outline: The head of <kind> is cut at each place by a server that <ends>
    Given a server that cuts the head of <kind> and <ends>
    When a POST is sent for each place at which it may be cut
    Then no POST is answered, and each may have run

    Examples:
      | kind                       | ends                        |
      | an answer with a length    | closes                      |
      | an answer with a length    | closes with its last bytes  |
      | an answer with a length    | resets                      |
      | an answer in chunks        | closes                      |
      | an answer in chunks        | resets                      |
      | an answer without framing  | closes                      |
      | an answer without framing  | closes with its last bytes  |
      | an HTTP/1.0 answer         | closes                      |
      | an answer after a 103      | closes                      |
      | an answer after a 103      | resets                      |
      | a refusal                  | closes                      |
      | an answer without body     | closes                      |

  # Guards against a body whose end is taken from a head that another parser reads otherwise.
  Scenario Outline: A short body behind the head "<head>" isn't whole
    Given a server that sends "<head>" and "<body>" bytewise and closes
    When a POST is sent whose answer may end with the connection
    Then the result is <result>

    Examples: Lengths and encodings that are cut, empty or folded
      | head                                         | body         | result      |
      | Content-Length:                              | hello        | unknown     |
      | Content-Length:\r\nX: 9                      | hello        | unknown     |
      | Content-Length:\r\n 9                        | hello        | unknown     |
      | Content-Length: 1\r\n 9                      | hello        | unknown     |
      | Content-Length: 5 9                          | hello        | unknown     |
      | Content-Length: 5, 9                         | hello        | unknown     |
      | Content-Length: 5\r\nContent-Length: 9       | hello        | unknown     |
      | Content-Length : 9                           | hello        | unknown     |
      | X-Empty:\r\nContent-Length: 9                | hello        | cut "hello" |
      | Transfer-Encoding:                           | hello        | unknown     |
      | Transfer-Encoding:\r\n chunked               | 5\r\nhel     | unknown     |
      | Transfer-Encoding: chunk                     | hello        | cut "hello" |
      | Transfer-Encoding: gzip                      | hello        | cut "hello" |
      | X-Empty:\r\nTransfer-Encoding: chunked       | 5\r\nhel     | cut "hel"   |
      | Content-Length: 5\r\nTransfer-Encoding: chunked | hello     | unknown     |
      | Transfer-Encoding: chunk\r\nContent-Length: 5   | hello     | unknown     |

    Examples: A second head in the place of the rest
      | head                                               | body | result  |
      | Content-LeHTTP/1.1 200 OK\r\nContent-Length: 2     | ok   | unknown |
      | Content-Length: 1HTTP/1.1 200 OK\r\nContent-Length: 2 | ok | unknown |
      | X-A: 1\r\nHTTP/1.1 200 OK\r\nContent-Length: 2     | ok   | unknown |

  # Guards against the length of an interim answer that is taken for the answer's own.
  Scenario: A head that is cut after an interim answer with a length
    Given a server that sends 103 with a length, a part of a head, and closes
    When a POST is sent whose answer may end with the connection
    Then the result is unknown

  # Guards against the caller of a cut head who gets the next answer of a kept connection.
  Scenario: A connection on which a head was cut carries no further request
    Given a server that cuts the head of its second answer
    When 3 pooled requests are sent, the second of which gets a cut head
    Then the others are answered, on two connections
