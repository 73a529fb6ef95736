Feature: The end of an event is found in any line ends and chunks

  # Guards against an event that one part of a router limits and another passes on in parts.
  Scenario: Events up to the limit are split alike, however the stream is split into chunks
    Then events of 1 to 40 bytes with any line ends are found in any chunks
    And a stream with an event of more than 40 bytes is oversized in any chunks

  # Guards against a server that keeps its caller, and a router busy, with bytes that are no events.
  Scenario Outline: A stream that goes on without data is found out, however it is split into chunks
    Then more than 40 bytes of "<text>" between two events are found in any chunks

    Examples:
      | text       |
      | \n         |
      | \r\n       |
      | :\n\n      |
      | id: 1\n\n  |
      | : data\n\n |

  Scenario Outline: Whether a stream ends inside an event
    When a stream "<stream>" ends
    Then it ends <where>, however it is split into chunks

    Examples:
      | stream                            | where           |
      |                                   | after an event  |
      | data: a                           | inside an event |
      | data: a\n                         | inside an event |
      | data: a\r\n                       | inside an event |
      | data: a\r                         | inside an event |
      | data: a\n\n                       | after an event  |
      | data: a\r\n\r\n                   | after an event  |
      | data: a\r\r                       | after an event  |
      | data: a\n\r\n                     | after an event  |
      | data: a\n\n\n                     | after an event  |
      | data: a\n\nid: 2                  | inside an event |
      | data: a\r\n\r\nid: 2\r\n           | inside an event |
      | data: a\r\rdata: b\r              | inside an event |
      | data: a\n\n: comment\n            | after an event  |
      | data: a\n\n: comment\n: another\r | after an event  |
      | data: a\n\n: comm                 | inside an event |
      | data: a\n\n: comment\ndata: b\n   | inside an event |
      | data: a\n\ndata: b\n: comment\n   | inside an event |
