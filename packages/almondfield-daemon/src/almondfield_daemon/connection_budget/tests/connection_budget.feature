Feature: Connections that wait for their callers give way to others

  Background:
    Given a budget of 1000 bytes and 5 connections

  # Guards against a crowd that stays and keeps every later caller out.
  Scenario: The oldest of those that hold much is closed, and no small one
    When connections hold these bytes, one a second
      | name  | bytes | phase   |
      | small | 10    | waiting |
      | a     | 400   | waiting |
      | b     | 400   | waiting |
      | c     | 400   | waiting |
    Then "a" is closed for memory
    And the budget holds 810 bytes

  # Guards against a request that is closed though its caller has sent all of it.
  Scenario: A connection that works on a request stays while others wait
    When connections hold these bytes, one a second
      | name | bytes | phase   |
      | a    | 600   | working |
      | b    | 300   | waiting |
      | c    | 300   | waiting |
    Then "b" is closed for memory
    And the budget holds 900 bytes

  # Guards against small callers that are closed for memory that they don't hold.
  Scenario: The largest is closed if those that wait hold too little
    When connections hold these bytes, one a second
      | name | bytes | phase   |
      | a    | 10    | waiting |
      | b    | 700   | working |
      | c    | 500   | working |
    Then "b" is closed for memory

  # Guards against a process without descriptors.
  Scenario: A new connection closes the one that has waited longest for a request
    When connections hold these bytes, one a second
      | name | bytes | phase   |
      | a    | 10    | working |
      | b    | 10    | waiting |
      | c    | 10    | idle    |
      | d    | 10    | waiting |
      | e    | 10    | waiting |
      | f    | 10    | waiting |
    Then "b" is closed for connections

  # Guards against callers that are closed before they can send a request.
  Scenario: An idle connection is closed before one that has just come
    When connections hold these bytes, one a second
      | name | bytes | phase   |
      | a    | 10    | idle    |
      | b    | 10    | idle    |
      | c    | 10    | working |
      | d    | 10    | working |
    And connections come at once
      | name |
      | e    |
      | f    |
    Then "a" is closed for connections

  # Guards against a log that a crowd fills.
  Scenario: Many closed connections write one line a second
    When 500 connections of 900 bytes come within 1 s
    Then at most 2 lines are written
    And the budget has counted 499 closed for memory

  Scenario: A connection that has ended holds nothing
    When connections hold these bytes, one a second
      | name | bytes | phase   |
      | a    | 600   | waiting |
    And "a" ends
    Then the budget holds 0 bytes
