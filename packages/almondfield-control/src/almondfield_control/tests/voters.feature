Feature: A lost voter is replaced, and no accepted change is lost

  Scenario: a wiped voter is replaced, then a second host is lost
    Given a fleet of 4 hosts with 3 voters
    When h4 makes 30 changes
    And h3 crashes and its data folder is wiped
    And h4 makes 3 more changes
    And h3 starts
    And the group reports that it tolerates 1 loss
    And h1 crashes and its data folder is wiped
    And all hosts are ready again
    And h4 makes 1 more changes
    Then every host has revision 34 and a freshness lease

  Scenario: a voter that is far behind receives a snapshot in chunks
    Given a fleet of 4 hosts with 3 voters
    When h3 crashes and its data folder is wiped
    And h4 makes 300 changes of 4000 bytes
    And h3 starts
    And the group reports that it tolerates 1 loss
    Then h3 received a snapshot and has the leader's state

  Scenario Outline: hosts with wiped folders never vote
    Given a fleet of 4 hosts with 3 voters
    When h4 makes 5 changes
    And h1 and h2 crash and their data folders are wiped
    And h1 and h2 start
    And <seconds> seconds pass
    Then there is no leader
    And h1 and h2 are not voters and have not voted

    Examples:
      | seconds |
      | 30      |

  Scenario: a group does not form before every configured voter has started
    Given a fleet of 4 hosts with 3 voters of which h1, h2, h4 start
    When 30 seconds pass
    Then there is no leader
    And h1 reports that it waits for h3
    When h3 starts
    Then all hosts become ready

  Scenario Outline: crashes during formation result in a single group
    Given a fleet of 4 hosts with 3 voters of which h1, h2, h3, h4 start
    When all voters crash and start again every <milliseconds> milliseconds, 20 times
    And all hosts are ready again
    Then every voter belongs to one group

    Examples:
      | milliseconds |
      | 2            |
      | 3            |
      | 505          |
      | 511          |

  Scenario: an operator removes a voter and admits it again
    Given a fleet of 4 hosts with 3 voters
    When h4 makes 5 changes
    And an operator removes a voter that does not lead
    Then 2 voters remain
    When the removed voter restarts with an empty folder
    And 10 seconds pass
    Then 2 voters remain
    When an operator admits it
    Then 3 voters remain
