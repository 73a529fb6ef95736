Feature: The control group holds evacuations of data centres

  # Guards against routers that forward requests before they know the evacuations.
  Scenario: A router knows the evacuations with its first table, and their end at once
    Given a formed group of 5 and 0 routers
    And version 2 is published at "c1"
    When "east" is evacuated
    And a router starts
    Then it knows the evacuations "east" as soon as it has a table
    When the evacuation of "east" ends
    And 0.3 s pass
    Then every host knows the evacuations ""
    And the leader and the router know that the evacuation of "east" has just ended

  # Guards against a call that is refused or done twice because its answer was lost.
  Scenario: The leader is lost between the commit and the acknowledgement
    Given a formed group of 5 and 2 routers
    When the leader ends as soon as it has applied a change of evacuations
    And "east" is evacuated
    And 1.5 s pass
    Then every host knows the evacuations "east"
    And one change of evacuations was made

  # Guards against a router that goes back to what a former leader replies late.
  Scenario: A router ignores an older reply
    Given a formed group of 5 and 1 routers
    When "east" is evacuated
    And 1.0 s pass
    And a reply from before the evacuation reaches the router
    Then every host knows the evacuations "east"

  # Guards against an evacuation that comes into force again after its end, because a
  # message of the first call was delayed.
  Scenario: A delayed message of an earlier call changes nothing
    Given a formed group of 5 and 1 routers
    And a message that evacuates "east" is delayed
    When the evacuation of "east" ends
    And the delayed message arrives
    And 1.0 s pass
    Then every host knows the evacuations ""

  # Guards against snapshots without evacuations: the entries are gone then.
  Scenario: A host knows an evacuation from its own snapshot or from another host's
    Given a formed group of 5 and 0 routers
    When "east" is evacuated
    And versions 1 to 12 with documents of 800000 bytes are published at "c1"
    And "c4" restarts from its snapshot
    And "c5" loses its disk and restarts, not allowed to form a group
    And 6.0 s pass
    Then every host knows the evacuations "east"
    And the state of "c1" is read from a snapshot without evacuations

  Scenario: No evacuation is accepted while there are too few voters
    Given 3 control hosts of which 3 are seeds, which tolerate 2 lost disks
    When 5.0 s pass
    Then an evacuation is certainly not done
