Feature: Routers and control hosts know routers and backend servers

  Background:
    Given control hosts "c1", "c2" and "c3" and routers "r1" and "r2"
    And 2.5 s pass

  Scenario: Every router hears of a server that one control host heard of
    When "s" announces itself at "c1" with sequence 1
    And 0.1 s pass
    Then "r1" and "r2" use "s"

  Scenario: No router uses a leaving server once that is acknowledged
    Given "s" announces itself at "c1" with sequence 1
    When "s" announces at "c2" that it leaves with sequence 2
    And 0.1 s pass
    Then neither "r1" nor "r2" uses "s"

  Scenario: A server that deletes itself gets no new work
    Given "s" announces itself at "c1" with sequence 1
    And 1.0 s pass
    When "s" deletes itself at "c3"
    And 0.1 s pass
    Then neither "r1" nor "r2" uses "s"

  Scenario: A late announcement does not bring a server back
    Given "s" announces itself at "c1" with sequence 1
    And "s" deletes itself at "c1"
    When "s" announces itself at "c1" with sequence 5
    And 1.0 s pass
    Then neither "r1" nor "r2" uses "s"

  Scenario: An announcement that was overtaken changes nothing
    Given "s" announces itself at "c1" with sequence 1
    And "s" announces at "c1" that it leaves with sequence 3
    When "s" announces itself at "c1" with sequence 2
    And 1.0 s pass
    Then neither "r1" nor "r2" uses "s"

  Scenario: A server that starts anew under its name is used again
    Given "s" announces itself at "c1" with sequence 9
    And "s" deletes itself at "c1"
    When "s" starts anew and announces itself at "c2" with sequence 1
    And 1.0 s pass
    Then "r1" and "r2" use "s"

  Scenario: The later of two servers holds their address
    Given "s" announces itself at "c1" with sequence 1
    When "t" starts at the address of "s" and announces itself at "c2"
    And 1.0 s pass
    Then neither "r1" nor "r2" uses "s"
    And "r1" and "r2" use "t"

  Scenario: A late announcement of the earlier one does not take the address back
    Given "t" starts at the address of "s" and announces itself at "c2"
    When "s" announces itself at "c1" with sequence 1
    And 1.0 s pass
    Then neither "r1" nor "r2" uses "s"
    And "r1" and "r2" use "t"

  Scenario: A control host that was cut off hears who left meanwhile
    Given "s" announces itself at "c1" with sequence 1
    And 1.0 s pass
    And "c1" is cut off from "c2" and "c3"
    And "s" announces at "c1" that it leaves with sequence 2
    When the cut heals
    And 1.5 s pass
    Then "c2" and "c3" know that "s" leaves

  Scenario: A router that restarts hears of every server
    Given "s" announces itself at "c1" with sequence 1
    And 1.0 s pass
    When "r1" starts anew
    And 0.1 s pass
    Then "r1" and "r2" use "s"

  Scenario: A server that is silent for long is gone
    Given "s" announces itself at "c1" with sequence 1
    When 31.0 s pass
    Then neither "r1" nor "r2" uses "s"

  Scenario: A server that is silent for a while is known as silent
    Given "s" announces itself at "c1" with sequence 1
    When 7.0 s pass
    Then "r1" knows that "s" is silent

  Scenario: Silence that one control host alone sees means nothing
    Given "s" announces itself at "c1" with sequence 1
    And "c3" is cut off from "c1" and "c2"
    When "s" goes on to announce itself at "c1" for 7 s
    Then "r1" does not take "s" for silent

  Scenario: Callers get the routers of their data centre
    Given "r1" and "r2" are ready
    When 0.1 s pass
    Then callers in "east" are sent to "r1, r2" by "c1"

  Scenario: A router that drains is handed out no more, at once
    Given "r1" and "r2" are ready
    And 0.1 s pass
    When "r1" drains
    And 0.1 s pass
    Then callers in "east" are sent to "r2" by "c1"

  Scenario: A router that is silent is handed out no more
    Given "r1" and "r2" are ready
    And 0.1 s pass
    When "r1" stops
    And 3.0 s pass
    Then callers in "east" are sent to "r2" by "c1"

  Scenario: A control host that hears no router goes on with what it knows
    Given "r1" and "r2" are ready
    And 0.1 s pass
    When "c1" is cut off from all
    And 4.0 s pass
    Then callers in "east" are sent to "r1, r2" by "c1"
