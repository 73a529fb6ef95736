Feature: Synced data survives a restart, and damage is reported

  Scenario: a torn last write is truncated, and entries synced before it are kept
    Given a journal with 3 synced entries on a disk
    When the host crashes in the middle of the next write, at every length
    Then each recovery returns the 3 entries

  # Guards against LOST: a voter refuses its folder after a power loss in a write.
  Scenario: a last write of which the end or the start is missing is truncated
    Given a journal with 3 synced entries on a disk
    When the host loses power in the next write, and its end or start is zero, at every length
    Then each recovery returns the 3 entries

  Scenario: a flipped byte before intact records is reported with its offset
    Given a journal with 3 synced entries on a disk
    When a byte in the middle of the file is flipped
    Then recovery reports the file, the offset and the remedy

  Scenario: a file of another version is refused and not truncated as a torn write
    Given a journal with 3 synced entries on a disk
    When the file header names another version
    Then recovery reports the format and leaves the file unchanged

  Scenario: a missing snapshot is refused
    Given a journal with 3 synced entries on a disk
    When a snapshot is written and then lost
    Then recovery reports the file, the offset and the remedy

  Scenario: a crash while a snapshot is written keeps the old files
    Given a journal with 3 synced entries on a disk
    When the host crashes while a snapshot is written
    Then the recovery returns the 3 entries

  # Guards against LOST: entries stand twice in the journal, and all after them at a wrong
  # index, where a write fails while a snapshot waits for it.
  Scenario: a write that fails before a snapshot is not repeated after it
    Given a journal with 3 synced entries on a disk
    When a write of 2 entries fails once, while a snapshot of 2 entries waits for it
    Then recovery returns entries 3 to 5 after the snapshot

  # Guards against LOST: as above, where old files can't be removed after a snapshot.
  Scenario: writes that a snapshot covers are not repeated if old files stay
    Given a journal with 3 synced entries on a disk
    When a snapshot covers a write of 2 entries, and no old file can be removed
    Then recovery returns entries 3 to 5 after the snapshot

  # Guards against LOST: a restart reads the journal of a snapshot that was given up, which
  # lacks what was synced since.
  Scenario: entries that are synced after a failed snapshot are kept
    Given a journal with 3 synced entries on a disk
    When the sync of the folder fails once the journal of a snapshot has its name
    And 2 more entries are synced
    Then the recovery returns all 5 entries

  Scenario: entries that are synced after a failed snapshot outlive a loss of power
    When the power is lost after 2 entries were synced behind such a failure, 40 times
    Then each recovery returns all 5 entries

  # Guards against a voter that takes no changes any more: its journal counts as failing
  # until a write succeeds, and a leader whose journal fails makes none.
  Scenario: a snapshot that failed once doesn't keep the journal from working again
    Given a journal with 3 synced entries on a disk
    When the disk has no space for a snapshot, and has space again later
    Then the journal reports no failure
    And the recovery returns all 3 entries

  Scenario: a folder that another process uses is refused
    Then a second use of a real data folder is refused

  Scenario: a real folder returns what was written
    Then a real data folder returns its entries, snapshot and hard state

  Scenario: a full disk blocks changes and is reported, and hosts keep serving
    Given a fleet of 4 hosts with 3 voters
    When h4 makes 3 changes
    And every disk is full
    And h4 submits change "late" at revision 3
    Then change "late" is not accepted
    And some voter reports a full disk
    And every host has revision 3 and a freshness lease
    When every disk has free space again
    And 20 seconds pass
    And h4 submits change "later" at its current revision
    Then change "later" is accepted

  # Guards against a change that waits for the next one: the entry whose write failed once,
  # and was written again, doesn't count as synced at its leader.
  Scenario: an entry whose write failed once is committed when it is written again
    Given a fleet of 2 hosts with 1 voters
    When the voter's next write fails once, as it appends an entry
    And 3 seconds pass
    Then the entry is committed, and no other one follows it

  # Guards against acknowledged entries that leave a disk, as an older snapshot of the
  # member replaces the leader's newer one.
  Scenario: a compaction that begins while a snapshot is installed doesn't undo it
    Given a member with 3 entries on a slow disk
    When it installs a snapshot of 9 entries, and compacts its own 3 meanwhile
    Then recovery returns the snapshot of 9 entries

  # Guards against a state that goes back behind entries that were applied, as the check
  # for a newer state comes only before the wait for the disk.
  Scenario: entries committed while a snapshot is installed stay applied
    Given a member with 12 entries on a slow disk, 3 of them committed
    When it installs a snapshot of 9 entries, and commits its 12 meanwhile
    Then it still has its 12 entries committed
    And recovery returns the snapshot of 9 entries

  # Guards against two entries of one term at one index, as a member that was elected in
  # the meantime appends entries that the installed log lacks.
  Scenario: entries that are appended while a snapshot is installed stay in the log
    Given a member with 12 entries on a slow disk, 3 of them committed
    When it installs a snapshot of 9 entries, and appends entry 13 as leader meanwhile
    Then its log ends with entry 13, and entries up to 12 count as synced
    And recovery returns the snapshot of 9 entries and entries up to 13
