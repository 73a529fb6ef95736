Feature: The audit trail keeps every accepted change

  Scenario: older records are exported once each, also across restarts
    Given a fleet of 4 hosts with 3 voters
    When h4 makes 600 changes
    And all voters crash and start again
    And all hosts are ready again
    And h4 makes 600 changes
    And 3 seconds pass
    Then every voter exported changes 1 to 700, and the group holds 201 to 1200

  # Guards against CONFIG: a control host ends by itself, as its audit file can't be
  # written or cut off while its disk is full.
  Scenario Outline: a disk that is full during the export ends no voter
    Given a fleet of 4 hosts with 3 voters
    When h4 makes 500 changes
    And the disk of h3 <failure> for audit records
    And h4 makes 100 changes
    And 3 seconds pass
    And h3 crashes and its folder is intact
    And h3 starts
    And 3 seconds pass
    Then h3 runs
    When the disk of h3 keeps audit records again
    And h4 makes 100 changes
    And 3 seconds pass
    Then every voter exported changes 1 to 200, and the group holds 1 to 700

    Examples:
      | failure                |
      | writes a part          |
      | fails to sync          |

  Scenario: a change identifier is kept longer than its audit record
    Given a fleet of 4 hosts with 3 voters
    When h4 makes 1100 changes
    And h4 submits change "change-1" at revision 0
    Then change "change-1" is accepted at revision 1
