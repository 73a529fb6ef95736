Feature: A change carries the rows that it puts and removes

  Background:
    Given a fleet of 4 hosts with 3 voters
    And tables of 3 routes at revision 1

  Scenario: rows are put and removed at every host, and the history lists them
    When h4 puts route "team-0" to "pool-b" and removes route "team-1" as "r"
    Then change "r" is accepted at revision 2
    And every host has the routes "team-0 pool-b, team-2 pool-a" within 3 seconds
    And the history of revision 2 is
      """
      - route "team-1" /
      ~ route "team-0" /: pool "pool-a" -> "pool-b"
      """

  Scenario: a change of rows against an earlier revision conflicts without effect
    When h4 puts route "team-0" to "pool-b" and removes route "team-1" as "r"
    And h1 puts route "team-2" to "pool-b" at revision 1 as "s"
    Then change "s" conflicts with "r"
    And every host has the routes "team-0 pool-b, team-2 pool-a" within 3 seconds

  Scenario: a change against a later revision never takes effect
    When h1 puts route "team-2" to "pool-b" at revision 2 as "s"
    And h4 puts route "team-0" to "pool-b" and removes route "team-1" as "r"
    And h1 puts route "team-2" to "pool-b" at revision 2 as "s"
    Then change "s" conflicts at revision 1
    And every host has the routes "team-0 pool-b, team-2 pool-a" within 3 seconds

  Scenario: invalid rows against the revision of a pending change are not accepted
    When the leader submits "r" and, before its answer, invalid rows at the next revision as "w"
    Then change "r" is accepted at revision 2
    And change "w" conflicts at revision 2
    And every host has the routes "team-0 pool-b, team-1 pool-a, team-2 pool-a" within 3 seconds

  Scenario: a change of rows that is submitted again receives its first answer
    When h4 puts route "team-0" to "pool-b" and removes route "team-1" as "r"
    And the leader crashes
    And all hosts are ready again
    And h4 puts route "team-0" to "pool-b" and removes route "team-1" as "r"
    Then change "r" is accepted at revision 2

  Scenario: invalid rows are refused and change nothing
    When h4 puts route "team-0" to "pool-x" at revision 1 as "w"
    Then change "w" is refused for "no pool 'pool-x'"
    And every host has the routes "team-0 pool-a, team-1 pool-a, team-2 pool-a" within 3 seconds

  Scenario: whole tables are converted to the rows that differ
    When h4 submits whole tables in which route "team-0" goes to "pool-b" as "t"
    Then change "t" is accepted at revision 2
    And the log entry of the change holds 1 row

  Scenario: whole tables are accepted at a host that has just started
    When h4 puts route "team-0" to "pool-b" and removes route "team-1" as "r"
    And all voters crash, and h1 starts 3 seconds before the others
    And h1 submits whole tables of one pool at revision 2 as "t" meanwhile
    Then change "t" is accepted at revision 3
    And every host has no routes within 3 seconds

  Scenario: all voters restart after changes of rows
    When h4 puts route "team-0" to "pool-b" and removes route "team-1" as "r"
    And all voters crash and start again
    And all hosts are ready again
    Then every host has the routes "team-0 pool-b, team-2 pool-a" within 3 seconds

  Scenario: invalid rows are refused after a restart from a snapshot
    When h4 makes 40 changes of 100000 bytes
    And all voters crash and start again
    And all hosts are ready again
    And h4 removes a pool in use at revision 41 as "w"
    Then change "w" is refused for "is removed, but 100 routes name it"
