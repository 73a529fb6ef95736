Feature: Accepted changes keep one order and are never lost under faults

  Scenario Outline: fault histories with seeds <first> to <last>
    When the fault histories with seeds <first> to <last> run
    Then each history keeps every accepted change exactly once, in one order
    And more than 100 changes were accepted

    Examples:
      | first | last |
      | 1     | 125  |
      | 126   | 250  |
      | 251   | 375  |
      | 376   | 500  |
