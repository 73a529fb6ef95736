Feature: Slots are used again soon after a fault

  Background:
    Given a fleet of 4 hosts with 3 servers of 4 slots
    And team "bar" of weight 1 keeps 12 requests of 0.3 s at host 3
    And team "hotel" of weight 1 keeps 12 requests of 0.4 s at host 4
    And 5 s pass

  Scenario: The scheduler's host is lost
    When the scheduler's host is lost and host 2 gets the lease when it has expired
    And 3 s pass
    Then at least 97 % of the slots were used in the last 1 s
    And no server ever ran more requests than it has slots

  Scenario: The scheduler's host is cut off, and its grants expire
    Given team "breeder" of weight 1 keeps 12 requests of 0.3 s at host 1
    When 2 s pass
    And the scheduler's host is cut off and host 2 gets the lease when it has expired
    And 1 s pass
    Then host 1 has no slots
    When 3 s pass
    Then at least 97 % of the slots were used in the last 1 s
    And no server ever ran more requests than it has slots

  Scenario: A router restarts without its earlier state
    When host 4 restarts
    And 3 s pass
    Then at least 97 % of the slots were used in the last 1 s
    And no server ever ran more requests than it has slots
