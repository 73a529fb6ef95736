Feature: Momentary slowdown of a server

  # Guards against a slow moment that counts for longer than machines stay slow.
  Scenario Outline: A report ages to the usual slowdown
    When a server reports 2.5
    And <seconds> s pass
    Then its slowdown is between <least> and <most>

    Examples:
      | seconds | least | most |
      | 0.0     | 2.5   | 2.5  |
      | 0.3     | 1.7   | 1.8  |
      | 0.6     | 1.0   | 1.05 |

  # Guards against predictions that are spoilt by a figure that can't be true.
  Scenario Outline: A report out of bounds is ignored
    When a server reports 2.0
    And a server reports <slowdown>
    Then its slowdown is between 2.0 and 2.0

    Examples:
      | slowdown |
      | 0        |
      | -1       |
      | 1000     |
      | nan      |

  # Guards against a server that is slow for good and counts as quick between two reports.
  Scenario: What a server reports all the time becomes its usual slowdown
    When a server reports 1.5 each 0.1 s for 12 s
    And 2 s pass
    Then its slowdown is between 1.45 and 1.5
    And it lost at most 0.01 s in the last 4 s

  # Guards against the time of slow moments in what is learned of a server's speed.
  Scenario: The time that a slow moment took is known afterwards
    When a server reports 1.0
    And 0.2 s pass
    And a server reports 2.5
    And 0.2 s pass
    And a server reports 1.0
    Then it lost at most 0.13 s in the last 0.4 s
    And it lost at least 0.11 s in the last 0.4 s

  # Guards against log lines that grow with the number of servers.
  Scenario: A log line names the servers that are slowed down most
    Given servers "1" to "20" whose slowdown is their number
    Then a log line names "20" to "13"
