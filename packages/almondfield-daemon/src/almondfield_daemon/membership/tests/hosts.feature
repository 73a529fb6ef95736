Feature: Callers hear of the hosts that they may use

  Scenario: The nearest data centre comes first
    Given 9 hosts in data centres "north", "south" and "west"
    When 1.0 s pass
    Then "h0" answers 9 hosts, those of "north" first
    And "h0" answers a caller in "west" with those of "west" first

  Scenario: Within a data centre spare capacity draws the order
    Given 9 hosts in data centres "north", "south" and "west"
    And "h1" has 15 spare slots and the others none
    When 12.0 s pass
    Then of 200 answers for "north" at least 150 begin with "h1"
    And every host of "north" begins at least one of them

  Scenario Outline: A silent host leaves every answer, and comes back
    Given <hosts> hosts in data centres "north", "south" and "west"
    And 3.0 s pass
    When "h1" falls silent
    And 2.0 s pass
    Then no other host answers "h1"
    And "h1" suspects itself
    When the network is whole again
    And 2.0 s pass
    Then every host answers <hosts> hosts

    Examples:
      | hosts |
      | 3     |
      | 9     |
      | 60    |

  Scenario: One broken path makes no host suspect
    Given 9 hosts in data centres "north", "south" and "west"
    And 3.0 s pass
    When the path between "h1" and one neighbour is cut
    And 3.0 s pass
    Then every host answers 9 hosts

  Scenario: Of two hosts the one with current tables stays
    Given 2 hosts in data centres "north", "south" and "west"
    And 3.0 s pass
    When "h1" falls silent
    And the tables of "h1" are stale
    And 2.0 s pass
    Then no other host answers "h1"
    And "h0" answers 1 hosts, those of "north" first

  Scenario: A data centre that is lost leaves the answers of the others
    Given 9 hosts in data centres "north", "south" and "west"
    And 3.0 s pass
    When every host of "west" stops
    And 2.0 s pass
    Then "h0" answers 6 hosts, those of "north" first

  Scenario: A draining host leaves every answer within two seconds
    Given 60 hosts in data centres "north", "south" and "west"
    And 3.0 s pass
    When "h1" drains
    And 2.0 s pass
    Then no other host answers "h1"
    And "h1" leaves itself out

  Scenario: A stale host leaves every answer and returns when it is current
    Given 9 hosts in data centres "north", "south" and "west"
    And 3.0 s pass
    When the tables of "h1" are stale
    And 2.0 s pass
    Then no other host answers "h1"
    When the tables of "h1" are current
    And 2.0 s pass
    Then every host answers 9 hosts

  Scenario: A drained host is back after its restart with empty memory
    Given 9 hosts in data centres "north", "south" and "west"
    And 3.0 s pass
    When "h1" drains
    And 1.0 s pass
    And "h1" restarts
    And 3.0 s pass
    Then every host answers 9 hosts

  Scenario: A host that only one host knows of is learned by all
    Given 9 hosts in data centres "north", "south" and "west"
    And 3.0 s pass
    When a host "new" joins that knows all the others
    And 3.0 s pass
    Then every host answers 10 hosts

  Scenario: Lost and repeated messages do no harm
    Given 9 hosts in data centres "north", "south" and "west"
    And a tenth of the messages is lost and a tenth repeated
    And 3.0 s pass
    When "h1" falls silent
    And 2.5 s pass
    Then no other host answers "h1"

  Scenario: The number of links of a host does not grow with the fleet
    Then hosts have at most 4 neighbours in fleets of 2 to 400 hosts
    And every host of 370 is at most 8 steps away from any other

  Scenario: Spare capacity that changes all the time costs little
    Given 9 hosts in data centres "north", "south" and "west"
    And the spare slots of every host change all the time
    When 40.0 s pass
    Then every host has told of its spare slots at most 5 times
