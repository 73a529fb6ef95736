Feature: The tasks of a host share the ticks of periodic timers

  Scenario: Tasks that start to wait at different times wake at the same ticks
    Given a timer of host "a" with interval 0.3 s
    When tasks start to wait at 1.00 s, 1.05 s and 1.10 s
    Then they wake a whole number of intervals apart

  Scenario: The next tick is at most about one interval away, but never immediate
    Given a timer of host "a" with interval 0.3 s
    Then after any time the next tick is 0.003 s to 0.303 s later
    And after any tick the next one is 0.3 s later

  Scenario: Ticks of half and double an interval coincide
    Given a timer of host "a" with interval 0.3 s
    Then each tick is also a tick of a timer with interval 0.15 s
    And every second tick is a tick of a timer with interval 0.6 s

  Scenario: Timers of different hosts have different phases
    Given a timer of host "a" with interval 0.3 s
    Then the ticks of host "b" fall between them
