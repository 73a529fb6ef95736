Feature: A control group formed from seeds keeps the newest routing table

  Scenario: Three seeds form the group and the others join it
    Given 5 control hosts of which 3 are seeds
    When 10.0 s pass
    Then all 5 hosts vote

  Scenario: Routers receive a new table at once
    Given a formed group of 5 and 2 routers
    When version 3 is published at "c1"
    And 0.3 s pass
    Then every router holds version 3 with a fresh lease

  Scenario: The highest version is in force, whichever is published last
    Given a formed group of 5 and 2 routers
    When version 5 is published at "c1"
    And version 4 is published at "c2"
    Then version 5 is read at "c3"
    And every publish reply has version 5

  Scenario: Other content under the published version is ignored
    Given a formed group of 5 and 2 routers
    And version 5 is published at "c1"
    When version 5 with other content is published at "c2"
    Then version 5 is read at "c3" with its first content

  Scenario: Two operators publish under the same version at once
    Given a formed group of 5 and 2 routers
    When version 7 is published with two contents at "c1" and "c2" at once
    Then one of the two contents is read at every control host

  Scenario: Routers follow a leader that is not a seed
    Given a formed group of 5 and 2 routers
    And version 2 is published at "c1"
    When every seed restarts until a non-seed host leads
    And version 3 is published at that host
    And 1.0 s pass
    Then every router holds version 3 with a fresh lease

  Scenario: A router that starts while no seed leads finds the leader
    Given a formed group of 5 and 2 routers
    And version 2 is published at "c1"
    When every seed restarts until a non-seed host leads
    And a router starts
    And 2.0 s pass
    Then every router holds version 2 with a fresh lease

  Scenario: The table of an isolated router becomes stale in time
    Given a formed group of 5 and 2 routers
    And version 2 is published at "c1"
    And 1.0 s pass
    When router "r1" is isolated
    And 4.2 s pass
    Then the table of router "r1" is stale

  Scenario: A lease starts when it is requested
    Given a formed group of 5 and 2 routers
    And version 2 is published at "c1"
    And 1.0 s pass
    Then no router's lease is longer than 4.0 s

  Scenario: A control host that lost its disk becomes a new voter
    Given a formed group of 5 and 2 routers
    And version 2 is published at "c1"
    When "c2" loses its disk and restarts, not allowed to form a group
    And 12.0 s pass
    Then all 5 hosts vote
    And "c2" has a new voter identity
    And version 2 is read at "c2"

  Scenario: Hosts with empty disks form no group unless allowed to
    Given 5 control hosts of which 3 are seeds, none allowed to form a group
    When 10.0 s pass
    Then no host leads

  Scenario: An acknowledged table survives a power loss of every control host
    Given a formed group of 5 and 2 routers
    And version 9 is published at "c4"
    When all control hosts lose power and restart
    And 5.0 s pass
    Then version 9 is read at "c1"

  Scenario: A host at another address replaces one that is permanently lost
    Given a formed group of 5 and 2 routers
    When "c5" is permanently lost and "c6" starts in its place
    And 25.0 s pass
    Then the voters are "c1, c2, c3, c4, c6"

  Scenario: No table is accepted while there are too few voters
    Given 3 control hosts of which 3 are seeds, which tolerate 2 lost disks
    When 5.0 s pass
    Then version 1 is refused at "c1"

  Scenario: A minority serves no reads
    Given a formed group of 5 and 2 routers
    And version 2 is published at "c1"
    When "c1" and "c2" are partitioned from the others
    And 3.0 s pass
    Then a read at "c1" fails
    And version 2 is read at "c3"

  Scenario: A leader whose disk rejects writes transfers its leadership
    Given a formed group of 5 and 2 routers
    When the disk of the leader rejects writes
    Then version 2 is published at "c1" within 4.0 s

  Scenario: Routers find a new leader as soon as there is one
    Given a formed group of 5 and 2 routers
    And version 2 is published at "c1"
    When all control hosts and routers lose power and restart
    Then every router has a fresh table within 0.3 s of a leader

  Scenario: Routers are notified of a new leader as soon as it leads
    Given a formed group of 5 and 2 routers
    And version 2 is published at "c1"
    And 1.0 s pass
    When the leader loses power
    Then another host leads within 0.9 s
    And every router has found the new leader within 0.05 s of its first entry
    And every router has a fresh table within 0.05 s of a leader

  # Guards against FAIR: a router with late replies lost its lease and its leader.
  Scenario: A router whose replies come late keeps its lease and its leader
    Given a formed group of 5 and 2 routers
    And version 2 is published at "c1"
    And 1.0 s pass
    When messages to and from router "r1" take 0.3 to 0.5 s
    And 8.0 s pass
    Then every router holds version 2 with a fresh lease
    And router "r1" knows the leader at each moment of the next 3.0 s

  # Guards against FAIR: work that two hosts may do at once ended with each moment in which
  # a late host's lease had run out.
  Scenario: A leader leads its term until it steps down, also without a lease
    Given a formed group of 5 and 2 routers
    And version 2 is published at "c1"
    When the lease of the leader has run out
    Then it doesn't count as the leader, but leads its term
    When it steps down
    Then it leads no term

  # Guards against CONFIG: a member without entries got up to 256 of them in one message,
  # of any size, which was dropped as too large and sent again for ever.
  Scenario: A lost disk is replaced after many changes of a large table
    Given a formed group of 3 and 0 routers
    And messages of more than 32 MiB are lost
    When versions 1 to 60 with documents of 800000 bytes are published at "c1"
    And "c3" loses its disk and restarts, not allowed to form a group
    And 6.0 s pass
    Then all 3 hosts vote
    And "c3" votes with its new identity
    And "c3" holds version 60
    And no message holds more than one entry of 800000 bytes

  # Guards against CONFIG: as above, while the table is changed on.
  Scenario: A lost disk is replaced while a large table is changed five times a second
    Given a formed group of 5 and 0 routers
    And messages of more than 32 MiB are lost
    When versions 1 to 20 with documents of 800000 bytes are published at "c1"
    And "c3" loses its disk, and restarts beside 40 more versions of that size
    Then all 5 hosts vote
    And "c3" votes with its new identity
    And no message holds more than one entry of 800000 bytes

  # Guards against CONFIG: successors voted at once, the hosts that they replaced until 15 s
  # of silence under one leader. Eight voters, of which five ran, had no quorum after a lost
  # disk, and the host with the lost disk needed a leader to be admitted.
  Scenario: Three leaders are replaced in turn, then a disk is lost
    Given a formed group of 5 and 1 routers
    And version 2 is published at "c1"
    When the leader is replaced by "c6", then 7.0 s pass
    Then only hosts that run vote
    When the leader is replaced by "c7", then 7.0 s pass
    Then only hosts that run vote
    When the leader is replaced by "c8", then 4.0 s pass
    Then only hosts that run vote
    When a host that doesn't lead loses its disk and restarts
    And 6.0 s pass
    Then 5 hosts vote, each with its newest identity
    And every router holds version 2 with a fresh lease

  # Guards against CONFIG: as above, as the silence of a lost voter began anew with each
  # leader.
  # Guards against two changes of voters at once, after which two quorums may not overlap.
  Scenario: A host that is replaced and one that lost its disk are replaced one after the other
    Given a formed group of 5 and 2 routers
    When a host that doesn't lead is replaced by "c6", while another one loses its disk
    And 9.0 s pass
    Then 5 hosts vote, each with its newest identity
    And memberships have differed by one voter at most

  Scenario: A lost host is replaced though the leader changes again and again
    Given a formed group of 5 and 1 routers
    When a host that doesn't lead is replaced by "c6"
    And the leader restarts every 1.5 s, 2 times
    And 1.5 s pass
    Then only hosts that run vote

  # Guards against CONFIG: a voter that is removed while it is cut off never learns that it
  # isn't one any more, and takes no part for good.
  Scenario: A voter that was replaced while it was cut off joins again
    Given a formed group of 5 and 1 routers
    When a host that doesn't lead is cut off, and "c6" starts
    And 6.0 s pass
    Then the host that was cut off doesn't vote
    When it is connected again
    And 4.0 s pass
    Then 6 hosts vote, each with its newest identity

  # Guards against a voter that is removed for a moment's silence: nothing is removed
  # while no other host is there to vote in its place.
  Scenario: A voter that is cut off for some seconds stays one
    Given a formed group of 5 and 1 routers
    When a host that doesn't lead is cut off
    And 6.0 s pass
    And it is connected again
    And 1.0 s pass
    Then 5 hosts vote, each with its newest identity

  # Guards against a learner that stays a member for good after its host is lost.
  Scenario: A host that is lost before it votes doesn't stay a member
    Given a formed group of 5 and 1 routers
    When a host that doesn't lead is cut off, and "c6" starts
    And 2.0 s pass
    And "c6" is permanently lost
    And it is connected again
    And 20.0 s pass
    Then 5 hosts vote, each with its newest identity
    And the group has 5 members

  # Guards against a fault of control hosts: they went over their memory, as 256 entries
  # stayed in memory whatever their size.
  Scenario: Changes of a large table leave a bounded log in memory
    Given a formed group of 3 and 0 routers
    When versions 1 to 80 with documents of 800000 bytes are published at "c1"
    And 2.0 s pass
    Then no control host holds more than 17 MiB of entries

  # Guards against the same fault while no quorum answers: 4,096 entries of any size were
  # accepted, though none could be committed.
  Scenario: Changes that can't be committed are refused before they fill the memory
    Given a formed group of 3 and 0 routers
    When all other hosts are cut off, and 60 tables of 800000 bytes come at the leader
    Then no control host holds more than 17 MiB of entries
    And most of these tables were refused as certainly not published

  # Guards against CONFIG: a host whose settings name only hosts that are gone, and itself,
  # knows nobody to ask after it has lost its disk.
  Scenario: A host that lost its disk joins again though all its seeds are gone
    Given a formed group of 5 and 1 routers
    When "c1" is replaced by "c6", whose seeds are "c3, c4, c5"
    And "c2" is replaced by "c7", whose seeds are "c3, c4, c5"
    And "c3" loses its disk and restarts with the seeds "c1, c2, c3"
    And 6.0 s pass
    Then 5 hosts vote, each with its newest identity

  # Guards against leaders that step down without a fault: they encoded and compressed a
  # large table once for each router, longer than their lease lasts.
  Scenario: A large table is packed once for all routers
    Given a formed group of 3 and 30 routers
    When a table of 2800 routes is published as version 2 at "c1"
    And 1.0 s pass
    Then every router holds version 2 with a fresh lease
    And every router has 2800 routes
    And the table was packed 1 time
    And no reply to a router was larger than 64 KiB

  Scenario: A router of an earlier build gets tables that aren't packed
    Given a formed group of 3 and 1 routers
    When a table of 10 routes is published as version 2 at "c1"
    Then a lease request of an earlier build gets a table of 10 routes

  Scenario: A table that can't be unpacked is not installed
    Given a formed group of 3 and 1 routers
    And version 2 is published at "c1"
    And 1.0 s pass
    When the leader packs tables wrongly, and version 3 is published at "c1"
    And 1.0 s pass
    Then every router holds version 2
    When the leader packs tables rightly again
    And 2.0 s pass
    Then every router holds version 3 with a fresh lease
