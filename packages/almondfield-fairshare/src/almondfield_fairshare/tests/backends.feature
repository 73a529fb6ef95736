Feature: Backend servers are chosen by free slots and left out where they fail

  Scenario: Requests spread by free slots
    Given a fleet of 1 hosts with 3 servers of 4 slots
    When 6 requests of 5 s are sent
    Then each server runs 2 requests

  Scenario: A server that failed this request before comes last
    Given a fleet of 1 hosts with 3 servers of 4 slots
    When 6 requests of 5 s are sent that avoid "server-1"
    Then "server-1" runs 0 requests

  Scenario: A failing server is left out, and probed later
    Given a fleet of 1 hosts with 3 servers of 4 slots
    And "server-2" fails every call
    When 15 requests of 0.1 s are sent one after the other
    Then "server-2" was tried 3 times
    When 1 s pass
    And 10 requests of 0.1 s are sent one after the other
    Then "server-2" was tried 4 times

  Scenario: The last servers are never left out
    Given a fleet of 1 hosts with 1 servers of 4 slots
    And "server-1" fails every call
    When 20 requests of 0.1 s are sent one after the other
    Then "server-1" was tried 20 times

  Scenario: A leaving server gets no new work
    Given a fleet of 3 hosts with 2 servers of 4 slots
    When "server-1" leaves
    And 0.1 s pass
    And 4 requests of 1 s are sent
    Then "server-1" runs 0 requests

  Scenario: A server that takes work again is used again
    Given a fleet of 3 hosts with 2 servers of 4 slots
    When "server-1" leaves
    And an announcement from before arrives late
    And 4 requests of 1 s are sent
    Then "server-1" runs 0 requests
    When "server-1" takes work again
    And 2.1 s pass
    And 4 requests of 1 s are sent
    Then "server-1" runs 4 requests

  Scenario: A silent server gets no new work
    Given a fleet of 3 hosts with 2 servers of 4 slots
    When "server-1" falls silent
    And 4.1 s pass
    And 4 requests of 1 s are sent
    Then "server-1" runs 0 requests

  Scenario: A server that two pools select is used by the first by name
    Given a fleet of 1 hosts with 2 servers of 4 slots and pools "early" and "late"
    When 6 s pass
    Then only pool "early" has slots, 8 in all
    And a finding names each server for pool "late"
