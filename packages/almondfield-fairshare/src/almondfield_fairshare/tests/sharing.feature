Feature: Slots are shared fairly across the fleet

  Scenario Outline: Backlogged teams get service by weight
    Given a fleet of <hosts> hosts with 2 servers of 4 slots
    And team "bar" of weight 1 keeps 12 requests of 0.5 s at host 1
    And team "hotel" of weight 3 keeps 12 requests of 0.7 s at host <hosts>
    When 40 s pass
    Then "hotel" received 3 times the service of "bar", within 10 %
    And at least 97 % of the slots were used in the last 30 s
    And no server ever ran more requests than it has slots

    Examples:
      | hosts |
      | 1     |
      | 2     |

  Scenario: Idle routers keep their slots without a new plan for each report
    Given a fleet of 6 hosts with 2 servers of 6 slots
    When 3 s pass
    Then the scheduler plans at most 30 times in the next 5 s
    And a request at host 1 gets its slot within 0.1 ms
    And a request at host 6 gets its slot within 0.1 ms

  Scenario: An unloaded pool needs no round trip
    Given a fleet of 2 hosts with 2 servers of 4 slots
    When 1 s pass
    Then a request at host 1 gets its slot within 0.1 ms
    And a request at host 2 gets its slot within 0.1 ms
