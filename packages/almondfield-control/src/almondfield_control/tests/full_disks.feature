Feature: A disk that refuses writes for some seconds costs nothing for longer

  # Guards against CONFIG: a control host that starts while its disk is full ends by
  # itself, as the error of the disk leaves the recovery of its folder.
  Scenario Outline: a voter that starts on a full disk takes part once there is room
    Given a fleet of 4 hosts with 3 voters
    When h4 makes 3 changes
    And h3 crashes and its folder <state>
    And the disk of h3 refuses every write
    And h3 starts
    And 5 seconds pass
    Then h3 runs, and its member has synced nothing new
    And h3 reports that its disk is full
    When h4 makes 2 more changes
    And the disk of h3 works again
    And the group reports that it tolerates 1 loss
    And h1 crashes
    And all hosts are ready again
    And h4 makes 1 more changes
    Then every host has revision 6 and a freshness lease

    Examples:
      | state             |
      | is intact         |
      | is empty          |
      | ends torn         |
      | holds an old file |

  # Guards against CONFIG: as above, where only one kind of call fails.
  Scenario Outline: a voter starts on a disk that fails in one kind of call
    Given a fleet of 4 hosts with 3 voters
    When h4 makes 3 changes
    And h3 crashes and its folder <state>
    And the disk of h3 <failure>
    And h3 starts
    And 5 seconds pass
    Then h3 runs
    When the disk of h3 works again
    And the group reports that it tolerates 1 loss
    And h1 crashes
    And all hosts are ready again
    And h4 makes 1 more changes
    Then every host has revision 4 and a freshness lease

    Examples:
      | state             | failure         |
      | is empty          | fails to sync   |
      | ends torn         | fails to sync   |
      | holds an old file | fails to sync   |
      | is empty          | fails to rename |
      | holds an old file | fails to rename |
      | holds an old file | fails to remove |

  # Guards against a member that stays out because of a file that it doesn't need.
  Scenario: a voter takes part while an old file of its folder can't be removed
    Given a fleet of 4 hosts with 3 voters
    When h4 makes 3 changes
    And h3 crashes and its folder holds an old file
    And the disk of h3 fails to remove
    And h3 starts
    And the group reports that it tolerates 1 loss
    And h1 crashes
    And all hosts are ready again
    And h4 makes 1 more changes
    Then every host has revision 4 and a freshness lease

  # Guards against reads and keyed requests that fail beside a lost voter, as one whose
  # disk is full doesn't answer its leader after a restart.
  Scenario: a voter that starts on a full disk keeps the lease of its leader
    Given a fleet of 4 hosts with 3 voters
    When h4 makes 3 changes
    And the other voter is lost after a follower restarted on a full disk
    Then the leader keeps its lease for 20 seconds
    And a change is not accepted
    When that follower's disk has room
    And 3 seconds pass
    Then h4's next change is accepted within 1 second

  # Guards against CONFIG: no group forms after a full disk, though all hosts run.
  Scenario Outline: a group forms once the disk of <host> has room
    Given a fleet of 4 hosts with 3 voters on whose host <host> the disk is full
    When 5 seconds pass
    Then there is no leader
    And <host> runs
    When the disk of <host> works again
    Then all hosts become ready

    Examples:
      | host |
      | h1   |
      | h2   |

  # Guards against CONFIG: no group forms for good, as the host that offers it tells the
  # others before its disk holds it, and restarts without it.
  Scenario Outline: a group forms though the disk of <host> was full as it was offered
    Given a fleet of 4 hosts with 3 voters on whose host <host> the disk takes no appends
    When 4 seconds pass
    And <host> crashes and its folder is intact
    And the disk of <host> works again
    And <host> starts
    Then all hosts become ready

    Examples:
      | host |
      | h1   |
      | h3   |

  # Guards against LOST and CONFIG, as another operator told: disks full in turn, beside
  # restarts, and changes refused long after.
  Scenario Outline: disks that are full in turn leave nothing behind
    Given a fleet of 6 hosts with 5 voters
    When each voter's disk refuses writes for <seconds> seconds in turn, and it <meanwhile>
    And all hosts are ready again
    Then ten changes of h6 are accepted within 1 second each

    Examples:
      | seconds | meanwhile                     |
      | 0.4     | runs on                       |
      | 3       | runs on                       |
      | 3       | restarts                      |
      | 3       | restarts with an empty folder |

  # Guards against CONFIG: a full disk beside a lost one.
  Scenario: a lost disk is replaced while another one is full
    Given a fleet of 6 hosts with 5 voters
    When h6 makes 5 changes
    And h5 crashes and its folder is empty
    And the disk of h4 refuses every write
    And h5 starts
    And 5 seconds pass
    And the disk of h4 works again
    And the group reports that it tolerates 2 loss
    Then ten changes of h6 are accepted within 1 second each

  # Guards against LOST and SHORT: a leader sends its snapshot over and over, as fast as
  # the link allows, to a member whose disk is full.
  Scenario: a snapshot for a member on a full disk is sent once a second at most
    Given a fleet of 4 hosts with 3 voters
    When h3 crashes and its folder is empty
    And h4 makes 300 changes of 4000 bytes
    And h3 starts and its disk is full once it has an identity
    Then h3 receives a snapshot at most 6 times in 5 seconds
    When the disk of h3 works again
    And the group reports that it tolerates 1 loss
    Then h3 received a snapshot and has the leader's state

  # Guards against LOST: a start counts entries as synced that a failed sync left in the
  # system's memory only, and a loss of power takes them.
  Scenario: what a start returns outlives a loss of power, though an earlier sync failed
    When a process ends after a failed sync, and power is lost after the next start, 40 times
    Then each start returned what the one after the loss returns

  # Guards against LOST: as above, with snapshots, retried writes and several starts.
  Scenario: entries that count as synced outlive failing syncs and losses of power
    When syncs fail, processes end and power is lost at any time, 100 times
    Then each start found all entries that had counted as synced

  # Guards against CONFIG: an empty folder can't be opened while its disk is full.
  Scenario: a folder opens while its lock file can't be made
    Then a real folder opens without a lock file, and a second use is refused
