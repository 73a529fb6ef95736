Feature: Only the events that are due join a stream that has begun

  # Guards against an error of the next server, or its head, in the middle of a stream that
  # broke off, and against such a stream that ends as if it were complete.
  Scenario Outline: An answer that doesn't go on with a stream is not joined
    Given a "resumable" route with 2 attempts and 2 servers
    When streams break off after event 2 or inside event 3, and go on with <answer>
    Then each caller has events 1 to 2 and an answer that breaks off
    When streams break off alike, and a third server may go on
    Then each caller has events 1 to 6 and a complete answer

    Examples:
      | answer                             |
      | an error's text as JSON            |
      | an error's lines as JSON           |
      | the right events as JSON           |
      | an error's text as events          |
      | an error's text without a type     |
      | an error's text before the events  |
      | an error's line in the first event |
      | a head before the events           |
      | a head in the first event          |
      | a field without data               |
      | an event without a number          |
      | an event with a word as its number |
      | events from 4 on                   |
      | events from 1 on                   |
      | event 2 again and events from 4 on |
      | the right events with status 201   |
      | status 204                         |
      | status 404                         |
      | the right events, encoded          |

  # Guards against a stream that ends as complete although a part of its next event came.
  Scenario Outline: An answer without a further event doesn't complete a stream inside an event
    Given a "resumable" route with 2 attempts and 2 servers
    When streams break off inside event 3, and go on with <answer>
    Then each caller has events 1 to 2 and an answer that breaks off
    When streams break off alike, and a third server may go on
    Then each caller has events 1 to 6 and a complete answer

    Examples:
      | answer                     |
      | event 2 again and no other |
      | no events                  |
      | no events and no type      |
      | a comment                  |
      | a part of a comment        |
      | blank lines                |

  Scenario Outline: A stream that broke off after its last event is completed by one without events
    Given a "resumable" route with 2 attempts and 2 servers
    When streams break off after event 2, and go on with <answer>
    Then each caller has events 1 to 2 and a complete answer

    Examples:
      | answer                     |
      | event 2 again and no other |
      | no events                  |

  # Guards against what follows the first event of a joined answer unchecked.
  Scenario Outline: A joined answer stops at the first bytes that don't go on with the stream
    Given a "resumable" route with 2 attempts and 2 servers
    When streams break off after event 2 or inside event 3, and go on with <answer>
    Then each caller has events 1 to 3 and an answer that breaks off
    When streams break off alike, and a third server may go on
    Then each caller has events 1 to 6 and a complete answer

    Examples:
      | answer                       |
      | event 3 and events from 5 on |
      | event 3 and an error's text  |
      | event 3 and an error's lines |
      | event 3 and a head           |

  Scenario Outline: An answer that goes on with a stream is joined
    Given a "resumable" route with 2 attempts and 2 servers
    When streams break off after event 2 or inside event 3, and go on with <answer>
    Then each caller has events 1 to 6 and a complete answer

    Examples:
      | answer                          |
      | a comment and the events        |
      | the events and a comment        |
      | event 2 again and the events    |
      | the events without a type       |
      | a version and the events        |
      | events to the last byte but one |

  # Guards against the same faults where the caller has events of an earlier answer.
  Scenario Outline: An answer that doesn't go on with a stream that is taken up is not sent
    Given a "resumable" route with 2 attempts and 2 servers
    When callers take streams up after event 2, and each server answers with <answer>
    Then each caller gets 502 and no byte of a stream
    When callers take streams up after event 2, and the second server is sound
    Then each caller has events 3 to 6 and a complete answer

    Examples:
      | answer                            |
      | an error's text as JSON           |
      | an error's text as events         |
      | an error's text before the events |
      | a head before the events          |
      | an event without a number         |
      | events from 4 on                  |
      | events from 1 on                  |
      | no events                         |
      | a comment                         |
      | the right events with status 201  |

  Scenario Outline: Streams whose numbers don't follow each other go on where that can't be told
    Given a "resumable" route with 2 attempts and 2 servers
    When a stream with the numbers <first> breaks off, and goes on with <next>
    Then its caller has the numbers <numbers> and an answer that <ends>

    Examples:
      | first | next  | numbers     | ends        |
      | 10 20 | 30 40 | 10 20 30 40 | is complete |
      | 10 20 | 15 30 | 10 20       | breaks off  |
      | 10 20 | 30 25 | 10 20 30    | breaks off  |
      | a b   | c d   | a b c d     | is complete |
      | 7 8   | 10 11 | 7 8         | breaks off  |
      | 7     | 8 9   | 7 8 9       | is complete |

  # A caller that names no last event gets the stream from its beginning.
  Scenario Outline: A stream that is taken up without its last event begins with any event
    Given a "resumable" route with 2 attempts and 2 servers
    When callers take streams up after no event, and each server answers with <answer>
    Then <outcome>

    Examples:
      | answer                  | outcome                                             |
      | events from 1 on        | each caller has events 1 to 6 and a complete answer |
      | an error's text as JSON | each caller gets 502 and no byte of a stream        |
      | no events               | each caller gets 502 and no byte of a stream        |
