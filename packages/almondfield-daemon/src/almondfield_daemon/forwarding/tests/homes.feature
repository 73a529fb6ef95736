Feature: A request reaches only servers in the regions that its route and team allow

  # Guards against a server outside the regions, which is preferred as it is nearer, and
  # that repeats, hand-overs and resumed streams leave the regions of the first attempt.
  Scenario Outline: A request stays in its regions
    Given a "<kind>" route with 2 attempts and 2 servers
    And only the first server is in "east", where connections take 0.0 s
    And the first server <what>
    And requests are allowed in "<regions>"
    When a request is served within its regions
    Then the request ends with status <status>
    And the first server received it <first> times
    And the second server received it <second> times

    Examples:
      | kind       | what                                  | regions     | status | first | second |
      | idempotent | answers                               | south       | 200    | 0     | 1      |
      | idempotent | answers                               | elsewhere   | 503    | 0     | 0      |
      | idempotent | truncates its answer                  | north,south | 200    | 1     | 1      |
      | idempotent | truncates its answer                  | north       | 502    | 1     | 0      |
      | idempotent | reports that it did not run it        | north       | 503    | 1     | 0      |
      | idempotent | is silent for 1.9 s before its answer | north,south | 200    | 1     | 1      |
      | idempotent | is silent for 1.9 s before its answer | north       | 200    | 1     | 0      |
      | resumable  | truncates its answer                  | north,south | 200    | 1     | 1      |
      | resumable  | truncates its answer                  | north       | cut    | 1     | 0      |

  Scenario: The scheduler is told which engines are outside the regions
    Given a "streaming" route with 2 attempts and 2 servers
    And only the first server is in "east", where connections take 0.0 s
    And requests are allowed in "south"
    When a request with a prompt is served within its regions
    Then the scheduler was asked without "s0", and the second server got it

  Scenario Outline: A request that its route and team allow in no region is refused
    Given a router of a route with a target of 0.8 s, where no other prompt waits
    And the route allows "north" and the team "<team>", and the lease has <left_s> s left
    When a team's request is read 0.0 s after it came
    Then the router <outcome>

    Examples:
      | team  | left_s | outcome                               |
      | south | 3.0    | refuses it for good with 403          |
      | south | 0.0    | refuses it, to be sent again in 0.5 s |
      | north | 3.0    | passes it on                          |

  # Guards against a server that is reached as its region isn't known.
  Scenario: A server in an unknown data centre gets no request with regions
    Given a "idempotent" route with 2 attempts and 2 servers
    And only the first server is in "nowhere", where connections take 0.0 s
    And requests are allowed in "south"
    When 3 requests are served within their regions
    Then the first server received it 0 times
    And its data centre is logged once
