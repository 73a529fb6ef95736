Feature: Overloaded routers are left out, and return gradually

  Background:
    Given 24 equal routers with 40 connections each

  # Guards against a router that is too late to accept connections, but has few of them.
  Scenario: A late router is left out, and all others are still named
    When "r1" is 0.6 s late for 5 s
    Then answers name 23 routers, not "r1"
    And a line tells that "r1" was left out

  Scenario: A single late iteration changes nothing
    When "r1" is 0.6 s late for 1 s
    Then answers name 24 routers

  Scenario: Routers that are all late are all named
    When all routers are 0.6 s late for 5 s
    Then answers name 24 routers

  # Guards against an answer without a choice, and against moving all load at once.
  Scenario: At most a quarter of the routers is left out
    When "r1" to "r9" are 0.6 s late for 5 s
    Then answers name 18 routers

  Scenario: A router returns in steps, and stays below the weight that overloaded it
    Given "r1" is 0.6 s late for 5 s
    When 10 s pass with usual load
    Then "r1" is in 0.15 to 0.35 of the answers
    And a line tells that "r1" returned
    When 10 s pass with usual load
    Then "r1" is in 0.4 to 0.6 of the answers
    When 300 s pass with usual load
    Then "r1" is in 1 to 1 of the answers

  # Guards against a router that never returns, as callers keep idle connections open.
  Scenario: Connections that nobody uses don't keep a router out
    Given "r1" has 300 connections for 5 s
    Then "r1" is in 0 to 0 of the answers
    When 20 s pass with 300 idle connections at "r1"
    Then "r1" is in 0 to 0 of the answers
    When 25 s pass with 300 idle connections at "r1"
    Then "r1" is in 0.03 to 0.2 of the answers

  # Guards against a report that attracts all callers, or ends a control host.
  Scenario Outline: Absurd reports are clamped and logged once
    When "r1" reports <item> <value> for 5 s
    Then one line names "<item>" of "r1"
    And "r1" is in <least> to <most> of the answers

    Examples:
      | item         | value | least | most |
      | cores        | nan   | 1     | 1    |
      | cores        | -1    | 1     | 1    |
      | cores        | 1e300 | 1     | 1    |
      | connections  | -5    | 1     | 1    |
      | loop_delay_s | -inf  | 1     | 1    |
      | loop_delay_s | 1e9   | 0     | 0    |
      | connections  | 1e18  | 0     | 0    |
