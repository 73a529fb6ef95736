Feature: The router follows the tables by the rows that change

  Scenario: Following every revision plans as one that starts from the last
    Then plans that follow 200 runs of revisions are those of the last tables
