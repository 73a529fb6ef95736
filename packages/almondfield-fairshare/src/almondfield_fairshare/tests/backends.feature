Feature: Backend servers are chosen by free slots and ejected when they fail

  Scenario: Requests are spread by free slots
    Given a fleet of 1 hosts with 3 servers of 4 slots
    When 6 requests of 5 s are sent
    Then each server runs 2 requests

  Scenario: A server that failed this request before is chosen last
    Given a fleet of 1 hosts with 3 servers of 4 slots
    When 6 requests of 5 s are sent that avoid "server-1"
    Then "server-1" runs 0 requests

  Scenario: A failing server is ejected, and probed later
    Given a fleet of 1 hosts with 3 servers of 4 slots
    And "server-2" fails every call
    When 15 requests of 0.1 s are sent one after the other
    Then "server-2" was tried 3 times
    When 1 s pass
    And 10 requests of 0.1 s are sent one after the other
    Then "server-2" was tried 4 times

  Scenario: The only server of a pool is never ejected
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
    And an outdated announcement arrives late
    And 4 requests of 1 s are sent
    Then "server-1" runs 0 requests
    When "server-1" takes work again
    And 2.1 s pass
    And 4 requests of 1 s are sent
    Then "server-1" runs 4 requests

  Scenario: An unresponsive server gets no new work
    Given a fleet of 3 hosts with 2 servers of 4 slots
    When "server-1" becomes unresponsive
    And 4.1 s pass
    And 4 requests of 1 s are sent
    Then "server-1" runs 0 requests

  Scenario: A server that two pools select is used by the first pool by name
    Given a fleet of 1 hosts with 2 servers of 4 slots and pools "early" and "late"
    When 6 s pass
    Then only pool "early" has slots, 8 in all
    And a finding names each server for pool "late"
