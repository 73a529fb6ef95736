Feature: A control group from seeds keeps the newest routing table

  Scenario: Three seeds form the group and the others join it
    Given 5 control hosts of which 3 are seeds
    When 10.0 s pass
    Then all 5 vote

  Scenario: Routers get a table at once
    Given a formed group of 5 and 2 routers
    When version 3 is published at "c1"
    And 0.3 s pass
    Then every router holds version 3 and counts it as fresh

  Scenario: The highest version is in force, whichever comes last
    Given a formed group of 5 and 2 routers
    When version 5 is published at "c1"
    And version 4 is published at "c2"
    Then version 5 is read at "c3"
    And every answer named version 5

  Scenario: Other content under the version held changes nothing
    Given a formed group of 5 and 2 routers
    And version 5 is published at "c1"
    When version 5 with other content is published at "c2"
    Then version 5 is read at "c3" with its first content

  Scenario: Two operators race under one version
    Given a formed group of 5 and 2 routers
    When version 7 is published with two contents at "c1" and "c2" at once
    Then one of them is read at every control host

  Scenario: A leader that no seed is is followed
    Given a formed group of 5 and 2 routers
    And version 2 is published at "c1"
    When every seed restarts until another host leads
    And version 3 is published at that host
    And 1.0 s pass
    Then every router holds version 3 and counts it as fresh

  Scenario: A router that starts while no seed leads finds the leader
    Given a formed group of 5 and 2 routers
    And version 2 is published at "c1"
    When every seed restarts until another host leads
    And a router starts
    And 2.0 s pass
    Then every router holds version 2 and counts it as fresh

  Scenario: A router that is cut off counts its table as stale in time
    Given a formed group of 5 and 2 routers
    And version 2 is published at "c1"
    And 1.0 s pass
    When router "r1" is cut off
    And 4.2 s pass
    Then router "r1" counts its table as stale

  Scenario: A lease counts from when it was asked for
    Given a formed group of 5 and 2 routers
    And version 2 is published at "c1"
    And 1.0 s pass
    Then no router's lease is longer than 4.0 s

  Scenario: A control host whose disk was lost is a new voter
    Given a formed group of 5 and 2 routers
    And version 2 is published at "c1"
    When "c2" loses its disk and starts again, which may not form a group
    And 12.0 s pass
    Then all 5 vote
    And "c2" has another identity than before
    And version 2 is read at "c2"

  Scenario: An empty disk alone never forms a group
    Given 5 control hosts of which 3 are seeds, none of which may form a group
    When 10.0 s pass
    Then none votes

  Scenario: Acknowledged is kept when every control host loses power
    Given a formed group of 5 and 2 routers
    And version 9 is published at "c4"
    When all control hosts lose power and start again
    And 5.0 s pass
    Then version 9 is read at "c1"

  Scenario: A host at another address takes the place of one that is gone
    Given a formed group of 5 and 2 routers
    When "c5" is gone for good and "c6" starts in its place
    And 25.0 s pass
    Then the voters are "c1, c2, c3, c4, c6"

  Scenario: No table is accepted before enough voters stand
    Given 3 control hosts of which 3 are seeds, where 2 disks may be lost
    When 5.0 s pass
    Then version 1 is refused at "c1"

  Scenario: A minority answers no reads
    Given a formed group of 5 and 2 routers
    And version 2 is published at "c1"
    When "c1" and "c2" are cut off from the others
    And 3.0 s pass
    Then a read at "c1" fails
    And version 2 is read at "c3"

  Scenario: A leader whose disk refuses writes hands over
    Given a formed group of 5 and 2 routers
    When the disk of the leader refuses writes
    Then version 2 is published at "c1" within 4.0 s

  Scenario: Routers find a new leader as soon as there is one
    Given a formed group of 5 and 2 routers
    And version 2 is published at "c1"
    When all control hosts and routers lose power and start again
    Then every router counts its table as fresh within 0.3 s of a leader

  Scenario: Routers hear of a new leader as soon as it leads
    Given a formed group of 5 and 2 routers
    And version 2 is published at "c1"
    And 1.0 s pass
    When the leader loses power
    Then another leads within 0.9 s
    And every router knows the next leader within 0.05 s of its first entry
    And every router counts its table as fresh within 0.05 s of a leader
