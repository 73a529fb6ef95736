Feature: Rows lead from one revision of the tables to another

  Scenario: Rows between two tables lead from one to the other
    Then 100 pairs of tables are joined by the rows between them

  Scenario: A change of rows is refused just where the tables after it are wrong
    Then 200 changes of rows have findings just where the tables after them have

  Scenario Outline: Rows that cannot be put or removed are named
    When a change <change>
    Then the findings of the rows are "<finding>"

    Examples:
      | change                   | finding |
      | removes a pool in use    | pool 'writing': is removed, but 3 routes name it (allowed: remove or move them too) |
      | removes a pool not there | pool 'gone': is not there to be removed |
      | removes a route twice    | route 'foals' /v1: is named 2 times (allowed: once) |
      | puts a route to no pool  | route 'colts' /.pool: no pool 'gone' (allowed: the name of a row of pools) |
      | takes a key of a team    | route 'mares' /v1.key_hashes: '8c05b62e34da'... is a key of team 'foals' in route 'foals' /v1 (allowed: a key of one team only) |
