Feature: An answer that its server cuts is told from others that fail

  # Guards against BUDGET: a prompt that ends servers isn't found if their ends look like time-outs,
  # and sound prompts are blamed if refused, late or idle connections look like ends.
  Scenario Outline: A failed request whose server <script>
    Given a cutting server that <script>
    When a pooled POST is sent to it
    Then the server <has> cut it

    Examples:
      | script                              | has    |
      | closes without an answer            | has    |
      | resets without an answer            | has    |
      | closes after the head               | has    |
      | resets after the head               | has    |
      | closes inside a chunk               | has    |
      | closes inside an unframed event     | has    |
      | closes before an unframed event     | has    |
      | ends chunks inside an event         | hasn't |
      | stays silent                        | hasn't |
      | stays silent after the head         | hasn't |
      | sends a malformed head              | hasn't |
      | sends an answer that never ends     | hasn't |

  Scenario Outline: A connection that was idle is closed <seconds> s after the next request
    Given a cutting server that closes its open connection <seconds> s after the second request
    When 2 pooled POSTs are sent to it
    Then the server <has> cut it
    And it <may> have been idle

    Examples:
      | seconds | has    | may    |
      | 0.0     | hasn't | may    |
      | 0.05    | hasn't | may    |
      | 0.2     | has    | cannot |

  # Guards against BUDGET: the end of a server that nobody finds.
  Scenario Outline: A server that <behaviour> at its address
    Given an address where a server <behaviour>
    Then it <accepts> a connection, as far as known

    Examples:
      | behaviour                 | accepts        |
      | listens                   | accepts        |
      | has ended                 | doesn't accept |
