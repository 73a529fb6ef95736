Feature: A daemon logs its resource usage

  Scenario: Only wake-ups after a wait are counted
    Given the event loop of a fleet daemon
    When it waits 5 times for 0.01 s
    Then it has woken up between 5 and 8 times
    When it yields 100 times without waiting
    Then it has woken up between 5 and 8 times

  Scenario: Usage is logged at intervals
    When the usage is logged for 25.0 s
    Then there are 2 lines with processor time, wake-ups and memory
