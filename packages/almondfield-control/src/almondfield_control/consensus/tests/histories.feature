Feature: Accepted changes have one order, and none is lost, whatever fails

  Scenario Outline: seeded histories <first> to <last>
    When the histories of seeds <first> to <last> are played
    Then each keeps every accepted change, in one order, once
    And the histories had work to do

    Examples:
      | first | last |
      | 1     | 125  |
      | 126   | 250  |
      | 251   | 375  |
      | 376   | 500  |
