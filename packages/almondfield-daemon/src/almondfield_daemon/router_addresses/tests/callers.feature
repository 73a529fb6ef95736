Feature: Callers that keep answers of the directory, and routers of unequal size

  # Guards against one router with 255 connections of one team, and neighbours with 4.
  Scenario: Callers who choose alike meet at one router where routers report nothing
    Given 24 routers of 0.387 to 1.29 cores that report nothing
    And 255 callers of one team that choose alike, and 60 others
    When 30 s pass
    Then the most used router has at least 255 connections from second 2 on

  Scenario Outline: Callers who choose alike are spread, and their load doesn't oscillate
    Given 24 routers of <cores> cores that report their load
    And 255 callers of one team that choose alike, and 60 others
    And the directory knows them <names>
    When 120 s pass
    Then the most used router has at most <first> connections up to second 8
    And it has at most 130 from second 9, and at most 100 from second 40 on
    And at most 16 times a router was left out, and never after second 60

    # Of equal routers all are named until the first one is overloaded.
    Examples:
      | cores         | names               | first |
      | 0.387 to 1.29 | by a name each | 140   |
      | 0.387 to 1.29 | by one name     | 140   |
      | 0.516         | by a name each | 260   |
      | 0.516         | by one name     | 260   |

  Scenario Outline: Load follows size, and callers keep their connections
    Given 24 routers of 0.387 to 1.29 cores that report their load
    And 2400 callers that choose at random
    And the directory knows them <names>
    When 30 s pass
    Then the connections of each size are 0.75 to 1.3 times its part by cores
    And each caller gave up at most <moves> connections a second
    And at most 0 times a router was left out, and never after second 0

    Examples:
      | names            | moves |
      | by a name each | 0     |
      | by one name  | 0.25  |

  Scenario Outline: Small fleets and equal, unloaded routers get the answers of before
    Given <count> routers of <cores> cores that report <load> connections
    Then answers are the first 64 of a random order

    Examples:
      | count | cores         | load     |
      | 10    | 0.387 to 1.29 | 0 to 900 |
      | 60    | 0.516         | 0 to 60  |
      | 100   | 0.516         | 0 to 60  |
