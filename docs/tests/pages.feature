Feature: Pages and examples agree with the code

  Scenario: The reference pages are up to date
    Then "tools/make_reference.py --check" finds nothing to write

  Scenario: Relative links between pages resolve
    Then every relative link of a page resolves to a file

  Scenario: Every example works from the root of the repository
    Then the settings of every example have no findings
    And the tables of every example have no findings
    And the secrets of every example can be read
    And "single-host" has 1 hosts in 1 data centres, 2 teams
    And "jaakarp" has 9 hosts in 4 data centres, 16 teams
    And "hestasala" has 8 hosts in 3 data centres, 16 teams

  Scenario: The hashed keys of the examples are the documented keys
    Then the key of every team is "example-key-of-" followed by its name

  Scenario: The operator guide lists every exit code
    Then every exit code is listed in "docs/operator-guide.md"
