Feature: A host estimates its own delay from the replies of others

  Scenario Outline: The delay is what the replies of most hosts have in common
    Given replies that take <replies> s
    Then the delay is <delay> s, and the host is <state>

    Examples:
      | replies                 | delay | state    |
      | 0.003 0.004 0.005       | 0.004 | in time  |
      | 0.6 0.7 0.8             | 0.7   | late     |
      | 0.003 0.004 0.005 2 2   | 0.005 | in time  |
      | 0.003 0.6 0.7 0.8 0.9   | 0.7   | late     |

  # Guards against one slow host that is taken for the delay of this one.
  Scenario: With few hosts the delay is unknown
    Given replies that take 0.6 0.7 s
    Then the delay is 0 s, and the host is in time

  Scenario: Replies count for some seconds, and each replaces the host's last one
    Given replies that take 0.6 0.7 0.8 s
    When 2.0 s pass
    And the replies take 0.003 0.003 0.003 s
    Then the delay is 0.003 s, and the host is in time
    When the replies take 0.6 0.7 0.8 s
    And 6.0 s pass
    Then the delay is 0 s, and the host is in time

  # Guards against a host with few others that takes its own delay for theirs.
  Scenario: The delay of the event loop counts for a second
    Given replies that take 0.003 s
    When the event loop is late by 0.4 s
    Then the delay is 0.4 s, and the host is late
    When 1.5 s pass
    Then the delay is 0 s, and the host is in time

  # Guards against waits that last longer than callers wait for an answer.
  Scenario: Timeouts are longer by half a second at most
    Given replies that take 2.0 2.0 2.0 s
    Then timeouts are longer by 0.5 s
