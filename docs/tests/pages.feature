Feature: Pages and examples agree with the code

  Scenario: The reference pages are up to date
    Then "tools/make_reference.py --check" finds nothing to write

  Scenario: Links between pages lead to files
    Then every relative link of a page leads to a file

  Scenario: Every example can be used from the root of the repository
    Then the settings of every example have no findings
    And the tables of every example have no findings
    And the secrets of every example can be read
    And "single-host" has 1 hosts in 1 data centres, 2 teams
    And "jaakarp" has 9 hosts in 4 data centres, 16 teams
    And "hestasala" has 8 hosts in 3 data centres, 16 teams

  Scenario: The documented example keys are the hashed ones
    Then the key of every team is "example-key-of-" and its name

  Scenario: The operator guide lists every exit code
    Then every exit code stands in "docs/operator-guide.md"
