Feature: A stop of a listener leaves no request that has come unanswered

  # Guards against a planned stop that resets requests which have just come on a kept
  # connection.
  Scenario: A request that lies in its socket as the listener stops gets an answer
    Given a listener that allows heads of 1024 bytes
    And a caller that has had an answer on a connection that it keeps
    When the caller sends a request and the listener stops before it reads it
    Then the caller gets a whole answer

  # Guards against a planned stop that closes the connection of a request of which the
  # rest lies in the socket.
  Scenario: A request whose head is half read as the listener stops gets an answer
    Given a listener that allows heads of 1024 bytes
    And a caller that has had an answer on a connection that it keeps
    When half a head is read, and the rest comes as the listener stops
    Then the caller gets a whole answer

  # Guards against a reset of a request that comes as its connection has been idle for long.
  Scenario: A request that comes as its idle connection is to be closed gets an answer
    Given a listener that allows heads of 1024 bytes
    And a caller that has had an answer on a connection that it keeps
    When the caller sends a request in the moment in which the idle time is over
    Then the caller gets a whole answer

  # Guards against a planned stop that resets requests on connections which the kernel has
  # accepted and the loop hasn't, or which the loop has accepted a moment ago.
  Scenario Outline: Requests on new connections as the listener stops get answers
    Given a listener that allows heads of 1024 bytes
    When <count> callers have connected and sent a request <iterations> before it stops
    Then each of them gets a whole answer
    And the listener has stopped within 5 s

    Examples:
      | count | iterations   |
      | 1     | 0 iterations |
      | 1     | 1 iterations |
      | 1     | 2 iterations |
      | 1     | 3 iterations |
      | 100   | 0 iterations |
      | 100   | 2 iterations |

  # Guards against connections that are kept without bound, as the bytes behind an answer
  # end the limit on their idle time.
  Scenario: A blank line behind an answer doesn't end the limit on idle time
    Given a listener that allows heads of 1024 bytes
    And a caller that has had an answer on a connection that it keeps
    When the caller sends a blank line after an answer, and idle connections are closed after 0.3 s
    Then the connection is closed within 2 s

  # Guards against LOST: a process whose listener took longer to stop than it may outlived
  # its grace period, and the kill cut what it still wrote.
  Scenario Outline: A listener stops within its time though a request would run on
    Given a listener whose requests run on for 30 s
    When a request runs, and the listener has to stop within <seconds> s
    Then the listener has stopped within <most> s
    And it took at least <seconds> s less 0.1 s

    Examples:
      | seconds | most |
      | 0.4     | 0.49 |
      | 0.2     | 0.29 |
