Feature: The control group holds evacuations of data centres

  Scenario: Routers learn of an evacuation and of its end at once
    Given a formed group of 5 and 2 routers
    When "op1" evacuates "east" at "c2"
    And 0.3 s pass
    Then every host knows the evacuations "east"
    When "op1" ends the evacuation of "east" at "c3"
    And 0.3 s pass
    Then every host knows the evacuations ""
    And every router and the leader know that the evacuation of "east" ended 0 to 1 s ago

  # Guards against routers that forward requests before they know the evacuations.
  Scenario: A router that starts knows the evacuations once it has a table
    Given a formed group of 5 and 0 routers
    And version 2 is published at "c1"
    When "op1" evacuates "east" at "c1"
    And a router starts
    Then it knows the evacuations "east" as soon as it has a table

  Scenario: A repeated call is acknowledged and changes nothing
    Given a formed group of 5 and 1 routers
    When "op1" evacuates "east" at "c1"
    And 2.0 s pass
    And "op2" evacuates "east" at "c2"
    Then "c3" lists "east" as requested by "op1", at least 2.0 s ago

  Scenario: The end of an evacuation that isn't in force is acknowledged
    Given a formed group of 3 and 1 routers
    When "op1" ends the evacuation of "east" at "c1"
    Then every host knows the evacuations ""

  # Guards against a call that is refused or done twice because its answer was lost.
  Scenario: The leader is lost between the commit and the acknowledgement
    Given a formed group of 5 and 2 routers
    When the leader ends as soon as it has applied a change of evacuations
    And "op1" evacuates "east" at a host that doesn't lead
    And 1.5 s pass
    Then every host knows the evacuations "east"
    And one change of evacuations was made

  # Guards against a router that sends requests to a data centre again because a host
  # that led before replies late.
  Scenario: A router ignores an older reply
    Given a formed group of 5 and 1 routers
    When "op1" evacuates "east" at "c1"
    And 1.0 s pass
    And a reply from before the evacuation reaches the router
    Then every host knows the evacuations "east"

  # Guards against an evacuation that comes into force again after its end, because a
  # message of the first call was delayed.
  Scenario Outline: A delayed message of an earlier call changes nothing
    Given a formed group of 5 and 1 routers
    And a message that evacuates "east" is delayed
    When <calls>
    And the delayed message arrives
    And 1.0 s pass
    Then every host knows the evacuations ""

    Examples:
      | calls                                                              |
      | "op1" ends the evacuation of "east" at "c1"                        |
      | the evacuation of "east" begins at "c1" and ends at "c2" |

  Scenario: An evacuation survives a power loss of every control host
    Given a formed group of 5 and 2 routers
    When "op1" evacuates "east" at "c4"
    And all control hosts lose power and restart
    And 5.0 s pass
    Then every host knows the evacuations "east"

  # Guards against snapshots without evacuations: the entries are gone then.
  Scenario: A host knows an evacuation from its own snapshot or from another host's
    Given a formed group of 5 and 0 routers
    When "op1" evacuates "east" at "c1"
    And versions 1 to 12 with documents of 800000 bytes are published at "c1"
    And "c4" restarts from its snapshot
    And "c5" loses its disk and restarts, not allowed to form a group
    And 6.0 s pass
    Then every host knows the evacuations "east"

  Scenario: A snapshot of an earlier build is read
    Given a formed group of 3 and 0 routers
    Then the state of "c1" is read from a snapshot without evacuations

  Scenario: No evacuation is accepted while there are too few voters
    Given 3 control hosts of which 3 are seeds, which tolerate 2 lost disks
    When 5.0 s pass
    Then an evacuation of "east" at "c1" is certainly not done

  Scenario: An evacuation isn't acknowledged without a quorum
    Given a formed group of 5 and 0 routers
    When "c1" and "c2" are partitioned from the others
    And 3.0 s pass
    Then an evacuation of "east" at "c1" is not acknowledged

  Scenario: A router that is cut off keeps what it knows
    Given a formed group of 5 and 1 routers
    When "op1" evacuates "east" at "c1"
    And 1.0 s pass
    And router "r1" is isolated
    And 6.0 s pass
    Then every host knows the evacuations "east"
