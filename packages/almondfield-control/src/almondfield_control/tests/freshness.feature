Feature: A host serves only with current tables, and changes come into force

  Scenario: a host that cannot reach the leader renews its lease from a neighbour
    Given a fleet of 5 hosts with 3 voters
    When h5 is partitioned from every voter
    And 20 seconds pass
    Then h5 holds a freshness lease
    When h4 makes 1 more changes
    Then revision 1 comes into force, and no host serves revision 0 from then on
    And h5 has revision 1 within 3 seconds

  Scenario: without a leader, a quorum of voters renews the leases of hosts
    Given a fleet of 5 hosts with 3 voters
    When h4 makes 1 changes
    And 5 seconds pass
    And the voters are partitioned from each other
    And 20 seconds pass
    Then there is no leader
    And all non-voting hosts hold a freshness lease

  Scenario: an uncommitted change at a voter prevents renewal by a quorum
    Given a fleet of 5 hosts with 3 voters
    When an uncommitted change reaches one voter besides the leader
    And the voters are partitioned from each other
    And 20 seconds pass
    Then all hosts are without a freshness lease

  Scenario: a change is in force only after the lease of an isolated host expired
    Given a fleet of 5 hosts with 3 voters
    When host h5 is isolated
    And h4 makes 1 changes
    Then revision 1 comes into force, and no host serves revision 0 from then on
    And h5 holds no freshness lease
    When the network heals
    Then h5 has revision 1 within 3 seconds

  Scenario: a new leader waits until leases of earlier terms have expired
    Given a fleet of 5 hosts with 3 voters
    When host h5 is isolated
    And the leader crashes
    And another host leads
    And h4 makes 1 changes
    Then revision 1 comes into force, and no host serves revision 0 from then on

  Scenario: a restarted host serves nothing before it holds a lease
    Given a fleet of 5 hosts with 3 voters
    When h4 makes 1 changes
    And host h5 crashes
    And host h5 is isolated
    And h5 starts
    And 5 seconds pass
    Then h5 holds no freshness lease

  Scenario: a small change of large tables is sent as a small message
    Given a fleet of 5 hosts with 3 voters
    When h4 makes 1 changes of 100000 bytes
    And 3 seconds pass
    And one row is added to the tables
    Then the replies with the change take less than 20000 bytes

  Scenario: a draining host releases its pools at once
    Given a fleet of 5 hosts with 3 voters
    When h4 makes 1 changes
    And 3 seconds pass
    And the scheduler of the pool hands over
    Then another host schedules the pool within 500 milliseconds

  Scenario: the pool of an isolated host moves, and never has two schedulers
    Given a fleet of 5 hosts with 3 voters
    When h4 makes 1 changes
    And 3 seconds pass
    And the scheduler of the pool is isolated
    Then another host schedules the pool within 1500 milliseconds
    And at no time did two hosts schedule it
