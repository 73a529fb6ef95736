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

  # Guards against a busy host whose processor time nobody can attribute.
  Scenario: Usage names the kinds of messages with the most processor time
    Given 10 kinds of messages, each of which takes as many ms a second as its number says
    When the usage is logged for 25.0 s
    Then each line names the 8 with the most processor time, and their numbers in 10 s
