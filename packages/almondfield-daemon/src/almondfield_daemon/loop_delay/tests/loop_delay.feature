Feature: A daemon knows how late its event loop is and how long requests were unread

  Scenario: A request on a kept connection arrived during the iteration before its reading
    Given iterations that began at 0.0, 0.5 and 1.0 s, and a connection made in the last
    When its first request is read two iterations later, at 2.0 s
    And its next request is read in the next iteration, at 2.6 s
    Then that request arrived between 2.0 and 2.6 s and is not the first

  # Guards against counting only the last iteration of a request that came with its connection.
  Scenario: The first request of a connection may have come with the connection
    Given iterations that began at 0.0, 0.5 and 1.0 s, and a connection made in the last
    When its first request is read two iterations later, at 2.0 s
    Then that request arrived between 0.0 and 2.0 s and is the first

  Scenario: A first request that comes later than its connection
    Given iterations that began at 0.0, 0.5 and 1.0 s, and a connection made in the last
    When its first request is read three iterations later, at 2.6 s
    Then that request arrived between 2.0 and 2.6 s and is the first

  Scenario: Nothing is known in an event loop that records no iterations
    Given a connection in an event loop that records no iterations
    When its first request is read
    Then it is unknown when that request arrived

  Scenario Outline: What counts as delay of an iteration
    Given an iteration whose callbacks take <callbacks> s
    When the selector is asked to wait for <timeout> s and returns after <wait> s
    Then the longest delay is <delay> s, with <late> late iterations
    And the longest delay after that is 0.0 s, with 0 late iterations

    Examples:
      | callbacks | timeout | wait | delay | late |
      | 0.4       | 0       | 0.0  | 0.4   | 1    |
      | 0.1       | 0.5     | 0.5  | 0.1   | 0    |
      | 0.1       | 0.5     | 0.2  | 0.1   | 0    |
      | 0.1       | 0.5     | 0.9  | 0.5   | 1    |
      | 0.1       | none    | 9.0  | 0.1   | 0    |
      | 0.0       | 0       | 0.3  | 0.3   | 1    |

  Scenario: A late event loop is logged once a second and measured in each interval
    Given an event loop whose longest delay is 0.4 s, in 2 late iterations of each interval
    When it is monitored for 5.1 s
    Then there are 5 lines of 8 late iterations and 400 ms
    And 20 intervals of 0.4 s were measured

  # Guards against counting the iterations that a timer waits for as one delay.
  Scenario: A delay is that of one iteration
    Given the event loop of a daemon
    When each of its next 6 iterations lasts 0.1 s while it is monitored
    Then each measured delay is between 0.1 and 0.2 s

  Scenario: An event loop in time writes no lines
    Given an event loop whose longest delay is 0.1 s, in 0 late iterations of each interval
    When it is monitored for 5.1 s
    Then there are no lines
    And 20 intervals of 0.1 s were measured
