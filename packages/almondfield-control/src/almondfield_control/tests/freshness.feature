Feature: A host serves only with tables that are current, and changes come in force

  Scenario: a host that the leader does not hear gets its lease from a neighbour
    Given a fleet of 5 hosts with 3 voters
    When h5 loses the paths to and from every voter
    And 20 seconds pass
    Then h5 holds a freshness lease
    When h4 makes 1 more changes
    Then revision 1 comes in force, and no host serves revision 0 from then on
    And h5 has revision 1 within 3 seconds

  Scenario: voters that find no leader still answer hosts by a quorum
    Given a fleet of 5 hosts with 3 voters
    When h4 makes 1 changes
    And 5 seconds pass
    And the voters lose the paths between them
    And 20 seconds pass
    Then there is no leader
    And all hosts that do not vote hold a lease

  Scenario: a change that a voter holds keeps hosts from serving by a quorum read
    Given a fleet of 5 hosts with 3 voters
    When an entry beyond the tables reaches one voter besides the leader
    And the voters lose the paths between them
    And 20 seconds pass
    Then all hosts are without a freshness lease

  Scenario: an isolated host runs out of its lease, and a change waits for that
    Given a fleet of 5 hosts with 3 voters
    When host h5 is isolated
    And h4 makes 1 changes
    Then revision 1 comes in force, and no host serves revision 0 from then on
    And h5 holds no freshness lease
    When every path works again
    Then h5 has revision 1 within 3 seconds

  Scenario: a new leader waits for the leases that it does not know
    Given a fleet of 5 hosts with 3 voters
    When host h5 is isolated
    And the leader crashes
    And another host leads
    And h4 makes 1 changes
    Then revision 1 comes in force, and no host serves revision 0 from then on

  Scenario: a restarted host serves nothing before it holds a lease
    Given a fleet of 5 hosts with 3 voters
    When h4 makes 1 changes
    And host h5 crashes
    And host h5 is isolated
    And h5 starts
    And 5 seconds pass
    Then h5 holds no freshness lease

  Scenario: a small change of large tables travels as a small message
    Given a fleet of 5 hosts with 3 voters
    When h4 makes 1 changes of 100000 bytes
    And 3 seconds pass
    And one row is added to the tables
    Then the news reach every host in less than 20000 bytes each

  Scenario: a draining host gives its pools away at once
    Given a fleet of 5 hosts with 3 voters
    When h4 makes 1 changes
    And 3 seconds pass
    And the host of the pool hands over
    Then another host schedules the pool within 500 milliseconds

  Scenario: a pool of a dead host is leased anew, and never to two hosts at a time
    Given a fleet of 5 hosts with 3 voters
    When h4 makes 1 changes
    And 3 seconds pass
    And the scheduler of the pool is cut off
    Then another host schedules the pool within 1500 milliseconds
    And at no time did two hosts schedule it
