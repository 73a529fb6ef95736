Feature: Slots are allocated by weight and placed within the servers' slots

  Scenario: Teams get whole slots by weight and demand
    Then any allocation gives a team at most one slot per request
    And any allocation leaves no slot idle while a team has requests without one
    And any allocation with equal counters is proportional to weight within one slot

  Scenario: A team's slots are split over its routers
    Then any split over routers assigns all slots, at most one per request
    And a router with one of 50 requests gets a slot within 100 rounds

  Scenario: Targets and placement
    Then the sum of any targets is at most the pool's slots
    And any placement adds only free slots and stays within each server's slots

  Scenario: An idle team earns no credit, and the debt of a busy one is bounded
    Given team "busy" used 100 slot-seconds while no other team waited
    When team "idle" begins to wait
    Then the counters of "busy" and "idle" differ by 0
    When team "heavy" that used 500 slot-seconds begins to wait, with a debt of at most 30
    Then the counters of "heavy" and "busy" differ by 30

  Scenario: Service is charged once when reports are lost or repeated
    Given a router reports totals 5, 12 and 20 of team "bar"
    When the report of 12 is lost, that of 20 arrives twice and that of 12 arrives late
    Then team "bar" was charged 15 slot-seconds
    When the router restarts and reports a total of 3
    Then team "bar" was charged 18 slot-seconds
