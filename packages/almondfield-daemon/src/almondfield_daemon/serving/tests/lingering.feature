Feature: An answer that ends its connection reaches a caller that still writes

  Background:
    Given a listener that answers some requests before it has read them

  # Guards against a close with unread bytes: its reset fails the caller's write, and a
  # caller that gives up there never reads its answer.
  Scenario Outline: A caller that writes on gets the whole answer
    When a caller sends <request> and writes <way>
    Then it gets the whole answer <status> after it has written everything

    Examples:
      | request                     | way                | status |
      | a body that is too long     | slowly             | 413    |
      | a body that is too long     | slowly in chunks   | 413    |
      | a body that is too long     | all at once        | 413    |
      | a body that is too long     | at once in chunks  | 413    |
      | a body without memory       | slowly             | 503    |
      | a body without memory       | at once in chunks  | 503    |
      | a long body that is refused | slowly             | 503    |
      | a long body that is refused | at once in chunks  | 503    |
      | a malformed head            | slowly             | 400    |
      | a malformed head            | all at once        | 400    |
      | an oversized head           | slowly             | 431    |
      | an oversized head           | all at once        | 431    |
      | a body that nobody reads    | slowly             | 404    |
      | a body that nobody reads    | at once in chunks  | 404    |

  # Guards against a second answer, written after the end of the output.
  Scenario: A body that is malformed after its refusal gets no second answer
    When a caller sends a refused request whose body is too long and then malformed
    Then it gets the whole answer 503 after it has written everything

  # Guards against callers that hold connections, and a stopping process, without bound.
  Scenario Outline: A connection that is to close doesn't wait without bound
    Given the wait for a caller ends after <limit>
    When a caller's body is too long, and it <behaviour> without reading
    Then its connection is closed by the listener

    Examples:
      | limit             | behaviour                     |
      | 0.1 s of silence  | falls silent                  |
      | 0.3 s in all      | writes on slowly without end  |
      | 1000000 bytes     | writes on quickly without end |
      | the listener ends | writes on slowly without end  |

  # Guards against an answer that is cut as its caller reads it later than the limits.
  Scenario: A large answer is whole though its caller reads it late
    Given the wait for a caller ends after 0.1 s of silence
    When a caller whose body is on its way reads an answer of 20000000 bytes after 0.3 s
    Then the answer is whole

  # Guards against bodies of refused requests that stay in memory.
  Scenario: Nothing is held of what a caller writes after its answer
    Given the wait for a caller ends after 1000000 bytes
    When a caller's body is answered unread, and it writes 500000 bytes without reading
    Then the listener holds none of them

  # Guards against LOST: an answer under way was cut as bytes behind its request were
  # malformed, too many, or came too slowly.
  Scenario Outline: A whole request gets its whole answer whatever follows it
    Given the head of a request may take 0.1 s
    When a caller sends a request that is answered after 0.4 s, and then <bytes>
    Then it gets the whole answer 200 after it has written everything

    Examples:
      | bytes                |
      | a malformed head     |
      | an oversized head    |
      | a part of a head     |
      | a malformed body     |

  # Guards against a refusal that is never sent as the body comes too slowly.
  Scenario: A refused request whose body comes too slowly gets its refusal
    Given the head of a request may take 0.1 s
    When a caller sends a long body that is refused, slowly and below the limit
    Then it gets the whole answer 503 after it has written everything

  # Guards against a stop that closes the connection of a refusal that waits for a body.
  Scenario: A refused request gets its refusal when the listener stops amid its body
    When the listener stops while a refused request's body is on its way
    Then it gets the whole answer 503 after it has written everything

  # Guards against logs that don't tell an answer that was read from one that was cut.
  Scenario Outline: The log tells how the wait for a caller ended
    Given the wait for a caller ends after <limit>
    When a caller's body is too long, and it <behaviour> without reading
    Then its connection is closed by the listener
    And the log says that the wait was ended by "<end>"

    Examples:
      | limit             | behaviour                     | end     |
      | 0.1 s of silence  | falls silent                  | silence |
      | 0.3 s in all      | writes on slowly without end  | time    |
      | 1000000 bytes     | writes on quickly without end | bytes   |
      | the listener ends | writes on slowly without end  | stop    |
      | 30 s in all       | closes the connection         | caller  |
      | 30 s in all       | resets the connection         | reset   |

  # Guards against answers that are cut while their callers read them, as the wait for
  # the rest of another request ends first.
  Scenario Outline: A large answer reaches a caller that reads it slowly
    Given the wait for a caller ends after <limit>
    When a caller sends a request with a large answer and <bytes>, and reads after 0.4 s
    Then it gets the whole answer 200 after it has written everything

    Examples:
      | limit            | bytes            |
      | 1000000 bytes    | a malformed head |
      | 0.1 s of silence | a malformed head |
      | 0.2 s in all     | a malformed head |

  # Guards against an answer that is cut by the reset of a close, as its caller still
  # writes when the wait ends, and has read only a part of it.
  Scenario: A large answer is whole though its caller writes on for longer than the limit
    Given the wait for a caller ends after 0.2 s in all
    When a caller writes a long body for 0.6 s before it reads its large answer
    Then it gets the whole answer 200 after it has written everything

  # Guards against answers that stay in memory for callers that never read them.
  Scenario Outline: A caller that reads nothing of its answer doesn't keep it
    Given the wait for a caller ends after <limit>
    When a caller reads nothing of its large answer and <behaviour>
    Then its connection is closed by the listener
    And the log says that the wait was ended by "unread"

    Examples:
      | limit            | behaviour                     |
      | 0.2 s unread     | falls silent                  |
      | 0.2 s unread     | writes on slowly without end  |
      | 0.2 s unread     | writes on quickly without end |

  # Guards against an answer that is cut by the reset of a close, as a request that crosses
  # the close lies unread.
  Scenario Outline: An answer that ends its connection is whole though a request crosses it
    When a caller sends a second request <moment>
    Then it gets the whole answer 200 after it has written everything

    Examples:
      | moment                                       |
      | while its large last answer is sent          |
      | that lies unread as its last answer is sent  |
