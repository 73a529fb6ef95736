Feature: Operators change the tables over HTTP
  Every request except health and readiness checks needs the operators' token.
  An invalid request returns all findings and changes nothing.

  Background:
    Given the operator interface of a host

  Scenario: A change is accepted and in force after the wait
    When a change "c1" against revision 0 is posted with wait 5
    Then the response is 200 with the body
      """
      {"change_id":"c1","revision":1,"in_force":true}
      """
    And the tables are at revision 1

  Scenario: A repeated change gets the first response again
    When a change "c1" against revision 0 is posted with wait 0
    And a change "c1" against revision 0 is posted with wait 0
    Then the response is 200 with the body
      """
      {"change_id":"c1","revision":1,"in_force":false}
      """
    And the tables are at revision 1

  Scenario: A conflict names the change that was accepted first
    When a change "c1" against revision 0 is posted with wait 0
    And a change "c2" against revision 0 is posted with wait 0
    Then the response is 409 with the body
      """
      {"change_id":"c2","revision":1,"winner_change_id":"c1","winner_author":"ann"}
      """
    And the tables are at revision 1

  Scenario: Invalid tables are refused with findings and change nothing
    When a change with a route to an unknown pool is posted
    Then the response is 422 with the body
      """
      {"findings":[{"place":"routes[0].pool","problem":"no pool 'none'","allowed":"the name of a row of pools"}]}
      """
    And the tables are at revision 0

  Scenario: A row change adds and removes rows and keeps the others
    When a change "c1" against revision 0 is posted with wait 0
    And the rows of change "c2" against revision 1 are posted
      """
      {"put_pools":[{"name":"q"}],"put_routes":[{"team":"u","path_prefix":"/","pool":"q"}],
       "removed_routes":[{"team":"t","path_prefix":"/"}]}
      """
    Then the response is 200 with the body
      """
      {"change_id":"c2","revision":2,"in_force":false}
      """
    And the tables have the pools "p q" and routes of "u"

  Scenario: A row change against an outdated revision conflicts
    When a change "c1" against revision 0 is posted with wait 0
    And the rows of change "c2" against revision 0 are posted
      """
      {"removed_routes":[{"team":"t","path_prefix":"/"}]}
      """
    Then the response is 409 with the body
      """
      {"change_id":"c2","revision":1,"winner_change_id":"c1","winner_author":"ann"}
      """

  Scenario Outline: Invalid rows are refused with findings and change nothing
    When a change "c1" against revision 0 is posted with wait 0
    And the rows of change "c2" against revision 1 are posted
      """
      <rows>
      """
    Then the response is 422 and its body contains "<text>"
    And the tables are at revision 1

    Examples:
      | rows                                            | text                     |
      | {"removed_pools":["p"]}                         | but 1 routes name it     |
      | {"put_route":[]}                                | put_route                |
      | {"put_routes":[{"team":"u","path_prefix":"/"}]} | body: rows.put_routes[0] |

  Scenario: Without a quorum the response has the reason and a retry delay
    Given no quorum can be reached
    When a change "c1" against revision 0 is posted with wait 0
    Then the response is 503 with the body
      """
      {"reason":"no leader","certainly_not_done":true}
      """
    And the header "retry-after" is "1"

  Scenario: A change that is not in force in time is still accepted
    Given changes do not come into force
    When a change "c1" against revision 0 is posted with wait 5
    Then the response is 200 with the body
      """
      {"change_id":"c1","revision":1,"in_force":false}
      """
    And 5 seconds have passed

  Scenario Outline: Paths other than health and readiness require the token
    When "<path>" is requested with the authorization "<authorization>"
    Then the response status is <status>

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
    Then "/health" returns 200
    And "/ready" returns 503
    And "/v1/tables" returns 503
    And "/v1/tables?stale=1" returns 200

  Scenario: A request to drain another host is refused
    When the host receives a request to drain "north-2"
    Then the response status is 421
    And "/ready" returns 200

  Scenario: A draining host is not ready
    When the host receives a request to drain "north-1"
    Then the response status is 202
    And "/ready" returns 503

  Scenario: Operators' requests are logged without their token
    When a change "c1" against revision 0 is posted with wait 0
    And a change "c2" against revision 0 is posted with wait 0
    And the host receives a request to drain "north-1"
    Then the log entries are
      | message         | done  | result         |
      | operator:change | True  | ChangeAccepted |
      | operator:change | False | ChangeConflict |
      | operator:drain  | True  | DrainStarted   |

  Scenario: Voters are admitted and removed by host name
    When "admit" is requested for the voter on "north-1"
    Then the response is 200 with the body
      """
      {"host":"north-1","votes":true}
      """
    When "remove" is requested for the voter on "north-2"
    Then the response is 409 with the body
      """
      {"host":"north-2","reason":"north-2 is no member"}
      """

  Scenario Outline: Read requests return the expected status
    When a change "c1" against revision 0 is posted with wait 0
    Then "<path>" returns <status>

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

  Scenario: A large change is parsed in a thread, so heartbeats stay on time
    When a change with 2000 routes is posted
    Then the response is 200 with the body
      """
      {"change_id":"c1","revision":1,"in_force":false}
      """
    And the body was parsed outside the thread of the event loop

  Scenario: A small change is parsed in the event loop
    When a change with 2 routes is posted
    Then the body was parsed in the event loop

  Scenario: Malformed requests are refused with findings and change nothing
    Then 300 malformed bodies are each refused
    And the tables are at revision 0
