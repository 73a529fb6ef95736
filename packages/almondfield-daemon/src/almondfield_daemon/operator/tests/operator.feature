Feature: Operators change the tables over HTTP
  Every request needs the operators' token. A request that cannot be read is
  answered with all findings and changes nothing.

  Background:
    Given the operator interface of a host

  Scenario: A change is accepted, waited for and shown
    When a change "c1" against revision 0 is posted with wait 5
    Then the answer is 200 and holds
      """
      {"change_id":"c1","revision":1,"in_force":true}
      """
    And the tables are at revision 1

  Scenario: The same change sent again gets the first answer again
    When a change "c1" against revision 0 is posted with wait 0
    And a change "c1" against revision 0 is posted with wait 0
    Then the answer is 200 and holds
      """
      {"change_id":"c1","revision":1,"in_force":false}
      """
    And the tables are at revision 1

  Scenario: A conflict names the winner
    When a change "c1" against revision 0 is posted with wait 0
    And a change "c2" against revision 0 is posted with wait 0
    Then the answer is 409 and holds
      """
      {"change_id":"c2","revision":1,"winner_change_id":"c1","winner_author":"ann"}
      """
    And the tables are at revision 1

  Scenario: Wrong tables are refused with findings and change nothing
    When a change with a route to no pool is posted
    Then the answer is 422 and holds
      """
      {"findings":[{"place":"routes[0].pool","problem":"no pool 'none'","allowed":"the name of a row of pools"}]}
      """
    And the tables are at revision 0

  Scenario: Rows are put and removed, and the rest of the tables stays
    When a change "c1" against revision 0 is posted with wait 0
    And the rows of change "c2" against revision 1 are posted
      """
      {"put_pools":[{"name":"q"}],"put_routes":[{"team":"u","path_prefix":"/","pool":"q"}],
       "removed_routes":[{"team":"t","path_prefix":"/"}]}
      """
    Then the answer is 200 and holds
      """
      {"change_id":"c2","revision":2,"in_force":false}
      """
    And the tables hold the pools "p q" and routes of "u"

  Scenario: Rows against a passed revision conflict
    When a change "c1" against revision 0 is posted with wait 0
    And the rows of change "c2" against revision 0 are posted
      """
      {"removed_routes":[{"team":"t","path_prefix":"/"}]}
      """
    Then the answer is 409 and holds
      """
      {"change_id":"c2","revision":1,"winner_change_id":"c1","winner_author":"ann"}
      """

  Scenario Outline: Wrong rows are refused with findings and change nothing
    When a change "c1" against revision 0 is posted with wait 0
    And the rows of change "c2" against revision 1 are posted
      """
      <rows>
      """
    Then the answer is 422 and its body holds "<words>"
    And the tables are at revision 1

    Examples:
      | rows                                            | words                    |
      | {"removed_pools":["p"]}                         | but 1 routes name it     |
      | {"put_route":[]}                                | put_route                |
      | {"put_routes":[{"team":"u","path_prefix":"/"}]} | body: rows.put_routes[0] |

  Scenario: Without a quorum the answer says so and when to come back
    Given no quorum can be reached
    When a change "c1" against revision 0 is posted with wait 0
    Then the answer is 503 and holds
      """
      {"reason":"no leader","certainly_not_done":true}
      """
    And the header "retry-after" is "1"

  Scenario: A change that is not in force in time is still accepted
    Given changes do not come in force
    When a change "c1" against revision 0 is posted with wait 5
    Then the answer is 200 and holds
      """
      {"change_id":"c1","revision":1,"in_force":false}
      """
    And 5 seconds have passed

  Scenario Outline: Only the token lets a request pass
    When "<path>" is asked for with the authorization "<authorization>"
    Then the status is <status>

    Examples:
      | path       | authorization             | status |
      | /v1/tables | Bearer token-of-the-tests | 200    |
      | /v1/tables | Bearer token-of-the-test  | 401    |
      | /v1/tables | Basic token-of-the-tests  | 401    |
      | /v1/tables | none                      | 401    |
      | /metrics   | none                      | 401    |
      | /nowhere   | none                      | 401    |
      | /health    | none                      | 200    |
      | /ready     | none                      | 200    |

  Scenario: A stale host is healthy but not ready
    Given the tables of the host are stale
    Then "/health" answers 200
    And "/ready" answers 503
    And "/v1/tables" answers 503
    And "/v1/tables?stale=1" answers 200

  Scenario: Draining is refused by another host than the one named
    When the host is told to drain "north-2"
    Then the status is 421
    And "/ready" answers 200

  Scenario: A draining host is not ready
    When the host is told to drain "north-1"
    Then the status is 202
    And "/ready" answers 503

  Scenario: What operators ask for is logged, without their token
    When a change "c1" against revision 0 is posted with wait 0
    And a change "c2" against revision 0 is posted with wait 0
    And the host is told to drain "north-1"
    Then the log holds
      | message         | done  | result         |
      | operator:change | True  | ChangeAccepted |
      | operator:change | False | ChangeConflict |
      | operator:drain  | True  | DrainStarted   |

  Scenario: Voters are admitted and removed by their host
    When "admit" of the voter on "north-1" is asked for
    Then the answer is 200 and holds
      """
      {"host":"north-1","votes":true}
      """
    When "remove" of the voter on "north-2" is asked for
    Then the answer is 409 and holds
      """
      {"host":"north-2","reason":"north-2 is no member"}
      """

  Scenario Outline: Read requests answer
    When a change "c1" against revision 0 is posted with wait 0
    Then "<path>" answers <status>

    Examples:
      | path                            | status |
      | /v1/history                     | 200    |
      | /v1/history?after=-1            | 400    |
      | /v1/history?limit=100000        | 400    |
      | /v1/status                      | 200    |
      | /v1/hosts                       | 200    |
      | /v1/addresses                   | 200    |
      | /v1/changes/1/in-force?wait=1   | 200    |
      | /v1/changes/x/in-force          | 400    |
      | /v1/changes/1/in-force?wait=999 | 400    |
      | /v1/nothing                     | 404    |
      | /v1/drain                       | 405    |
      | /metrics                        | 200    |

  Scenario: A large change leaves time for heartbeats while it is read
    When a change with 2000 routes is posted
    Then the answer is 200 and holds
      """
      {"change_id":"c1","revision":1,"in_force":false}
      """
    And the body was read in a thread beside the event loop

  Scenario: A small change is read without a thread
    When a change with 2 routes is posted
    Then the body was read in the event loop

  Scenario: Malformed requests are refused with findings and change nothing
    Then 300 malformed bodies are each refused
    And the tables are at revision 0
