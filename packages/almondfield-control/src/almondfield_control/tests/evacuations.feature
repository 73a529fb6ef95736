Feature: Every host of a listed fleet knows the evacuations

  # Guards against hosts without a vote that never hear of an evacuation.
  Scenario: Hosts learn of an evacuation with their leases, and keep it when cut off
    Given a fleet of 5 hosts with 3 voters
    When h5 evacuates "dc1"
    And 1 seconds pass
    And host h4 is isolated
    And 6 seconds pass
    Then every host knows that "dc1" is evacuated
