Feature: Slots are split by weight, and placed without a slot too many

  Scenario: Teams get whole slots by weight and demand
    Then any split gives a team no more than it asks for
    And any split leaves no slot idle that a team asks for
    And any split of equal counters is level by weight within one slot

  Scenario: A team's slots are split over its routers
    Then any split over routers hands out all slots, and no router gets too many
    And a router with one of 50 requests has its turn within 100 rounds

  Scenario: Targets and placement
    Then any targets come to no more than the pool's slots
    And any placement adds only free slots and goes beyond no server's slots

  Scenario: A team that was idle has no credit, and a busy one bounded debt
    Given team "busy" used 100 slot-seconds while it alone waited
    When team "idle" begins to wait
    Then the counters of "busy" and "idle" differ by 0
    When team "heavy" that used 500 slot-seconds begins to wait, with a debt of at most 30
    Then the counters of "heavy" and "busy" differ by 30

  Scenario: Service is charged once, whatever is lost or repeated
    Given a router reports totals 5, 12 and 20 of team "bar"
    When the report of 12 is lost and that of 20 comes twice, after which 12 comes late
    Then team "bar" was charged 15 slot-seconds
    When the router restarts and reports a total of 3
    Then team "bar" was charged 18 slot-seconds
