Feature: What was synced is there after a restart, and damage is named

  Scenario: a torn last write is cut, and what was synced before it stays
    Given a journal with 3 synced entries on a disk
    When the host crashes in the middle of the next write, at every length
    Then each recovery gives the 3 entries

  Scenario: a flipped byte before intact records is refused with its place
    Given a journal with 3 synced entries on a disk
    When a byte in the middle of the file is flipped
    Then recovery names the file, the offset and what to do

  Scenario: a file of another version is refused, and not cut as a torn write
    Given a journal with 3 synced entries on a disk
    When the file says that another version wrote it
    Then recovery names the format and the file is as it was

  Scenario: a missing snapshot is refused
    Given a journal with 3 synced entries on a disk
    When a snapshot is written and then lost
    Then recovery names the file, the offset and what to do

  Scenario: a crash while a snapshot is written keeps the old files
    Given a journal with 3 synced entries on a disk
    When the host crashes while a snapshot is written
    Then the recovery gives the 3 entries

  Scenario: a folder that another process uses is refused
    Then a second use of a real data folder is refused

  Scenario: a real folder gives back what was written
    Then a real data folder gives back entries, snapshot and hard state

  Scenario: a full disk stops changes, says so, and serving goes on
    Given a fleet of 4 hosts with 3 voters
    When h4 makes 3 changes
    And every disk is full
    And h4 asks for change "late" at revision 3
    Then change "late" is not accepted
    And some voter says that its disk is full
    And every host has revision 3 and a freshness lease
    When every disk has space again
    And 20 seconds pass
    And h4 asks for change "later" at the revision that it has
    Then change "later" is accepted
