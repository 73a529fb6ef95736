Feature: Callers get the addresses of the hosts that they may use

  Scenario: The nearest data centre comes first
    Given 9 hosts in data centres "north", "south" and "west"
    When 1.0 s pass
    Then "h0" returns 9 hosts, those of "north" first
    And "h0" answers a caller in "west" with those of "west" first

  Scenario: Within a data centre the order is random, weighted by spare capacity
    Given 9 hosts in data centres "north", "south" and "west"
    And "h1" has 15 spare slots and the others none
    When 12.0 s pass
    Then of 200 answers for "north" at least 150 begin with "h1"
    And every host of "north" is first in at least one of them

  Scenario Outline: An unresponsive host is left out of all answers until it recovers
    Given <hosts> hosts in data centres "north", "south" and "west"
    And 3.0 s pass
    When "h1" is isolated
    And 2.0 s pass
    Then no other host returns "h1"
    And "h1" suspects itself
    When the network is restored
    And 2.0 s pass
    Then every host returns <hosts> hosts

    Examples:
      | hosts |
      | 3     |
      | 9     |
      | 60    |

  Scenario: A broken path between two hosts makes neither suspect
    Given 9 hosts in data centres "north", "south" and "west"
    And 3.0 s pass
    When the path between "h1" and one neighbour is cut
    And 3.0 s pass
    Then every host returns 9 hosts

  Scenario: If two hosts cannot reach each other, only the one with current tables is returned
    Given 2 hosts in data centres "north", "south" and "west"
    And 3.0 s pass
    When "h1" is isolated
    And the tables of "h1" are stale
    And 2.0 s pass
    Then no other host returns "h1"
    And "h0" returns 1 hosts, those of "north" first

  Scenario: The hosts of a failed data centre are left out of the others' answers
    Given 9 hosts in data centres "north", "south" and "west"
    And 3.0 s pass
    When every host of "west" stops
    And 2.0 s pass
    Then "h0" returns 6 hosts, those of "north" first

  Scenario: A draining host is left out of all answers within two seconds
    Given 60 hosts in data centres "north", "south" and "west"
    And 3.0 s pass
    When "h1" drains
    And 2.0 s pass
    Then no other host returns "h1"
    And "h1" does not return itself

  Scenario: A host with stale tables is left out of all answers until they are current
    Given 9 hosts in data centres "north", "south" and "west"
    And 3.0 s pass
    When the tables of "h1" are stale
    And 2.0 s pass
    Then no other host returns "h1"
    When the tables of "h1" are current
    And 2.0 s pass
    Then every host returns 9 hosts

  Scenario: A drained host is returned again after a restart without stored state
    Given 9 hosts in data centres "north", "south" and "west"
    And 3.0 s pass
    When "h1" drains
    And 1.0 s pass
    And "h1" restarts
    And 3.0 s pass
    Then every host returns 9 hosts

  Scenario: A host that is missing from the others' settings becomes known to all
    Given 9 hosts in data centres "north", "south" and "west"
    And 3.0 s pass
    When a host "new" joins whose settings name all the others
    And 3.0 s pass
    Then every host returns 10 hosts

  Scenario: An isolated host is left out despite lost and repeated messages
    Given 9 hosts in data centres "north", "south" and "west"
    And a tenth of the messages is lost and a tenth repeated
    And 3.0 s pass
    When "h1" is isolated
    And 2.5 s pass
    Then no other host returns "h1"

  Scenario: The number of links of a host does not grow with the fleet
    Then hosts have at most 4 neighbours in fleets of 2 to 400 hosts
    And every host of 370 is at most 8 hops away from any other

  Scenario: Updates of a constantly changing spare capacity are rate-limited
    Given 9 hosts in data centres "north", "south" and "west"
    And the spare slots of every host change at each reading
    When 40.0 s pass
    Then every host has published its spare slots at most 5 times
