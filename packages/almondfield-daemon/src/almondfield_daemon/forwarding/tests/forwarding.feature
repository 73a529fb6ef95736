Feature: Requests run within their retry limits, and truncated answers are visible

  Scenario Outline: Outcome after one failed attempt
    Given a "<kind>" route with 2 attempts and 3 servers
    And the first server <failure>
    When a request is served
    Then <servers> servers received it
    And the caller gets <outcome>

    Examples:
      | kind           | failure                        | servers | outcome            |
      | idempotent     | refuses the connection         | 2       | 200                |
      | idempotent     | reports that it did not run it | 2       | 200                |
      | idempotent     | lost its address to another    | 2       | 200                |
      | idempotent     | loses its answer               | 2       | 200                |
      | idempotent     | answers without signature      | 2       | 200                |
      | idempotent     | answers another request        | 2       | 200                |
      | idempotent     | truncates its answer           | 2       | 200                |
      | idempotent     | fails with 500                 | 2       | 200                |
      | idempotent     | never answers                  | 2       | 200                |
      | non-idempotent | refuses the connection         | 2       | 200                |
      | non-idempotent | reports that it did not run it | 2       | 200                |
      | non-idempotent | lost its address to another    | 2       | 200                |
      | non-idempotent | loses its answer               | 1       | 502 unknown        |
      | non-idempotent | answers without signature      | 1       | 502 unknown        |
      | non-idempotent | answers another request        | 1       | 502 unknown        |
      | non-idempotent | truncates its answer           | 1       | 502 unknown        |
      | non-idempotent | fails with 500                 | 1       | 500                |
      | non-idempotent | never answers                  | 1       | 504 unknown        |
      | streaming      | refuses the connection         | 2       | 200                |
      | streaming      | reports that it did not run it | 2       | 200                |
      | streaming      | loses its answer               | 1       | 502 unknown        |
      | streaming      | truncates its answer           | 1       | a truncated answer |
      | streaming      | fails with 500                 | 1       | 500                |
      | resumable      | loses its answer               | 2       | 200                |
      | resumable      | truncates its answer           | 2       | 200                |
      | resumable      | fails with 500                 | 2       | 200                |

  Scenario: A route with one attempt is sent to one server
    Given a "idempotent" route with 1 attempts and 3 servers
    And the first server loses its answer
    When a request is served
    Then 1 servers received it
    And the caller gets 502 unknown

  Scenario: A refusal reports "not-run" only if no server may have run the request
    Given a "idempotent" route with 2 attempts and 3 servers
    And the first server loses its answer
    And the second server reports that it did not run it
    When a request is served
    Then the caller gets 502 unknown

  # Guards against an earlier answer on a kept connection that is taken for the next one.
  Scenario Outline: An answer without a name counts only on a connection of its own
    Given a "idempotent" route with 2 attempts and 2 servers
    And every server <answer>
    When a request is served
    Then the caller gets <outcome>

    Examples:
      | answer                                         | outcome     |
      | refuses without a name, on a kept connection   | 502 unknown |
      | refuses without a name, on a new connection    | 503 not-run |
      | has moved without a name, on a kept connection | 502 unknown |
      | has moved without a name, on a new connection  | 503 not-run |
      | fails without a name, on a kept connection     | 502 unknown |

  Scenario: Every server refuses
    Given a "non-idempotent" route with 3 attempts and 3 servers
    And every server reports that it did not run it
    When a request is served
    Then 3 servers received it
    And the caller gets 503 not-run

  Scenario: No server is known
    Given a "idempotent" route with 2 attempts and 0 servers
    When a request is served
    Then the caller gets 503 not-run within 0.01 s

  Scenario: The error answer of the last server is passed to the caller
    Given a "idempotent" route with 2 attempts and 3 servers
    And every server fails with 500
    When a request is served
    Then 2 servers received it
    And the caller gets 500

  Scenario: A resumed stream has each event once and in order
    Given a "resumable" route with 2 attempts and 3 servers
    And the first server truncates its answer
    When a request is served
    Then the caller has events 1 to 6, each once
    And the second server was asked to resume after event 3

  Scenario: The event that a caller resumes after is passed to the server
    Given a "resumable" route with 2 attempts and 3 servers
    When a request that resumes after event 4 is served
    Then the first server was asked to resume after event 4

  Scenario: A truncated stream is never marked as complete
    Given a "streaming" route with 2 attempts and 3 servers
    And the first server truncates its answer
    When a request is served
    Then the answer is not marked as complete

  Scenario: Servers receive the remaining time as their deadline
    Given a "idempotent" route with 2 attempts and 3 servers
    And the first server never answers
    When a request with a deadline of 1.5 s is served
    Then the second server gets a shorter deadline than the first

  # Guards against servers that get more time than callers have left.
  Scenario: A server is told what is left once its connection is there
    Given a "idempotent" route with 1 attempts and 1 servers
    And connections take 0.4 s
    When a request with a deadline of 1.5 s is served
    Then the server is told that at most 1.1 s are left

  # Guards against requests that are sent on although their callers left meanwhile.
  Scenario: Nothing is sent for a caller that leaves while its server is connected
    Given a "idempotent" route with 1 attempts and 1 servers
    And connections take 0.4 s
    When a caller leaves unnoticed 0.2 s after its request
    Then 0 servers received it

  Scenario: The route's timeout ends a request
    Given a "non-idempotent" route with 1 attempts and 1 servers
    And every server never answers
    When a request with a deadline of 60 s is served
    Then the caller gets 504 unknown within 4.1 s

  Scenario: Repeats stop when the fleet's retry budget is used up
    Given a "idempotent" route with 2 attempts and 3 servers
    And every server loses its answer
    When 200 requests are served in 5 s
    Then the servers received at most 200 + 0.2 x 200 + 50 attempts

  Scenario: Several routers share one retry budget
    Given a "idempotent" route with 2 attempts and 3 servers
    And every server loses its answer
    And 5 routers share the budget
    When 200 requests are served in 5 s
    Then the servers received at most 200 + 0.2 x 200 + 10 attempts

  Scenario: The call to the server is cancelled when the caller disconnects
    Given a "streaming" route with 2 attempts and 3 servers
    And the first server never answers
    When a caller disconnects 0.2 s after its request
    Then the call to the first server was cancelled within 0.1 s
    And the line of the request has its first attempt after 0 ms

  # Guards against a late host that avoids all servers and refuses what they could serve.
  Scenario Outline: A host that is late itself does not avoid silent servers
    Given a "idempotent" route with 2 attempts and 3 servers
    And the replies of <hosts> other hosts take <delay> s
    And the first server <failure>
    When a request is served
    Then the first server is <state>

    Examples:
      | hosts | delay | failure                | state       |
      | 3     | 0.01  | never answers          | avoided     |
      | 3     | 0.5   | never answers          | not avoided |
      | 3     | 0.5   | loses its answer       | avoided     |
      | 3     | 0.5   | refuses the connection | avoided     |
      | 2     | 0.5   | never answers          | avoided     |

  # Guards against a dead server that gets requests as long as the host is late.
  Scenario: A late host avoids a server that is silent twice in a row
    Given a "idempotent" route with 2 attempts and 1 servers
    And the replies of 3 other hosts take 0.5 s
    And the first server never answers
    When a request is served
    And a request is served
    Then the first server is avoided

  # Guards against a late host that gives up answers which are on their way.
  Scenario Outline: A host that is late itself waits longer for an answer
    Given a "idempotent" route with 2 attempts and 3 servers
    And the replies of 3 other hosts take <delay> s
    And the first server answers after 1.0 s
    When a request is served
    Then <servers> servers received it
    And the caller gets 200

    Examples:
      | delay | servers |
      | 0.01  | 2       |
      | 0.5   | 1       |

  Scenario: The next requests avoid a server that failed
    Given a "idempotent" route with 1 attempts and 3 servers
    And the first server loses its answer
    When a request is served
    And 9 more requests are served
    Then the first server received at most 1 of them

  Scenario: Requests are split between pools by weight
    Given a route that sends 90 of 100 requests to "a" and 10 to "b"
    Then of 2000 requests 8 to 12 in 100 go to "b"
    And a pool with weight 0 gets no request

  Scenario Outline: A resumable stream leaves an unresponsive server after a short timeout
    Given a "resumable" route with 2 attempts and 3 servers
    And the first server <stops>
    When a request is served
    Then the caller has events 1 to 6, each once
    And the answer took at most 1.6 s

    Examples:
      | stops                    |
      | never answers            |
      | stalls during its answer |

  Scenario: A stream that can't be resumed waits for an unresponsive server
    Given a "streaming" route with 2 attempts and 3 servers
    And the first server stalls during its answer
    When a request is served
    Then the answer took at least 3.9 s

  Scenario: The last attempt at a stream may wait until the deadline
    Given a "resumable" route with 1 attempts and 3 servers
    And the first server stalls during its answer
    When a request is served
    Then the answer took at least 3.9 s

  Scenario: A slow stream continues when the retry budget is used up
    Given a "resumable" route with 2 attempts and 3 servers
    And 1000 routers share the budget
    And the first server stalls during its answer
    When a request is served
    Then the answer took at least 3.9 s

  Scenario Outline: A deadline below the typical one shows how long a caller has waited
    Given 50 requests with deadlines of <typical> s
    Then a deadline of <deadline> s means a wait of <waited> s

    Examples:
      | typical     | deadline | waited |
      | 15.0        | 15.0     | 0.0    |
      | 15.0        | 12.5     | 2.5    |
      | 15.0        | 20.0     | 0.0    |
      | 1.0 to 15.0 | 0.5      | 0.0    |

  Scenario Outline: A resumed stream requests an engine as a repeat
    Given a "resumable" route with 2 attempts and 3 servers
    When a request with a prompt that resumes after event "<event>" is served
    Then the scheduler received <what>

    Examples:
      | event | what            |
      | 4     | a repeat        |
      |       | a first attempt |

  Scenario Outline: Only a failed server makes the next engine request a repeat
    Given a "streaming" route with 2 attempts and 3 servers
    And the first server <failure>
    When a request with a prompt that resumes after event "" is served
    Then the last request to the scheduler was <what>

    Examples:
      | failure                        | what            |
      | reports that it did not run it | a first attempt |
      | refuses the connection         | a repeat        |

  Scenario Outline: Without a scheduler, all routers together send up to two prompts per server
    Given a "streaming" route with 1 attempts and 4 servers
    And <routers> routers share the budget
    And every server never answers
    When 6 requests with prompts are served at once
    Then <sent> of them were sent to servers

    Examples:
      | routers | sent |
      | 1       | 4    |
      | 4       | 2    |
      | 60      | 1    |
