Feature: A request reaches only servers in the regions that its route and team allow

  # Guards against a server elsewhere that is nearer, and against repeats, hand-overs and
  # resumed streams that leave the regions.
  Scenario Outline: A request stays in its regions
    Given a "<kind>" route with 2 attempts and 2 servers
    And only the first server is in "<centre>", where connections take 0.0 s
    And the first server <what>
    And requests are allowed in "<regions>"
    When a <request> is served
    Then the caller gets <answer>
    And the first server received it <first> times
    And the second server received it <second> times

    Examples:
      | kind       | request               | centre  | what                                  | regions     | answer             | first | second |
      | idempotent | request               | east    | answers                               | south       | 200                | 0     | 1      |
      | streaming  | request with a prompt | east    | answers                               | south       | 200                | 0     | 1      |
      | idempotent | request               | east    | answers                               | elsewhere   | 503 not-run        | 0     | 0      |
      | idempotent | request               | nowhere | answers                               | south       | 200                | 0     | 1      |
      | idempotent | request               | east    | truncates its answer                  | north,south | 200                | 1     | 1      |
      | idempotent | request               | east    | truncates its answer                  | north       | 502 unknown        | 1     | 0      |
      | idempotent | request               | east    | reports that it did not run it        | north       | 503 not-run        | 1     | 0      |
      | idempotent | request               | east    | is silent for 1.9 s before its answer | north       | 200                | 1     | 0      |
      | resumable  | request               | east    | truncates its answer                  | north       | a truncated answer | 1     | 0      |

  Scenario: The scheduler is told which engines are outside the regions
    Given a "streaming" route with 2 attempts and 2 servers
    And only the first server is in "east", where connections take 0.0 s
    And requests are allowed in "south"
    When a request with a prompt is served
    Then the scheduler was asked to exclude "s0"

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
