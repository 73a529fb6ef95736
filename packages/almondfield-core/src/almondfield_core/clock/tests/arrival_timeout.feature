Feature: A timeout does not count the delay of this process as silence

  # Guards against a busy host that gives up replies which it has received, but not read.
  Scenario Outline: Data that arrived while the loop was busy ends the wait
    Given data that arrives after <arrival> s
    When a task waits for it for 1.0 s, and the loop is busy until 1.5 s
    Then the wait ends with <outcome>

    Examples:
      | arrival | outcome   |
      | 0.5     | the data  |
      | 1.2     | the data  |
      | 1.5     | the data  |
      | 2.0     | a timeout |

  Scenario: A wait without data ends at its timeout
    When a task waits for 1.0 s for data that never arrives
    Then the wait ends with a timeout after 1.0 s

  Scenario: A cancelled wait is cancelled, not timed out
    When a task that waits for 1.0 s is cancelled after 0.5 s
    Then the wait ends with a cancellation after 0.5 s
