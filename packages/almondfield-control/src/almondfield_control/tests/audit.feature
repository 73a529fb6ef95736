Feature: The audit trail keeps every accepted change

  Scenario: older records are exported once each, also across restarts
    Given a fleet of 4 hosts with 3 voters
    When h4 makes 600 changes
    And all voters crash and start again
    And all hosts are ready again
    And h4 makes 600 changes
    And 3 seconds pass
    Then every voter exported changes 1 to 700, and the group holds 201 to 1200

  Scenario: a change identifier is kept longer than its audit record
    Given a fleet of 4 hosts with 3 voters
    When h4 makes 1100 changes
    And h4 submits change "change-1" at revision 0
    Then change "change-1" is accepted at revision 1
