Feature: A listener takes in no more at a time than its host can work on

  # Guards against FAIR: one pass of a router's loop took in all that waited; its lease,
  # its scheduler and its readiness check had to wait for the pass.
  Scenario: Many callers at once don't hold up the other work of the event loop
    Given a listener for an application that works 0.3 ms on each request
    When 1500 callers have connected and sent a request before the loop runs
    Then every caller gets an answer
    And a timer never waited for more than 0.25 s of processor time
