Feature: Changes of rows turn one revision of the tables into another

  Scenario: The changes of rows between two tables turn one into the other
    Then for 100 pairs of tables the changes of rows turn one into the other

  Scenario: A change of rows is refused exactly if the resulting tables are invalid
    Then 200 changes of rows have findings exactly if the resulting tables have

  Scenario Outline: Rows that cannot be put or removed are reported
    When a change <change>
    Then the findings of the change are "<finding>"

    Examples:
      | change                   | finding |
      | removes a pool in use    | pool 'writing': is removed, but 3 routes name it (allowed: remove or move them too) |
      | removes a missing pool   | pool 'gone': does not exist, so it cannot be removed |
      | removes a route twice    | route 'foals' /v1: is named 2 times (allowed: once) |
      | puts a route to a missing pool | route 'colts' /.pool: no pool 'gone' (allowed: the name of a row of pools) |
      | uses the key of another team | route 'mares' /v1.key_hashes: '8c05b62e34da'... is a key of team 'foals' in route 'foals' /v1 (allowed: a key of one team only) |
