Feature: A slow request is sent to a second server

  Background:
    Given a "idempotent" route with 2 attempts and 4 servers
    And slow requests are hedged within a share of 0.02
    And the pool took 0.02 s for each of 200 requests lately

  # Guards against hedges where they are unsafe or harmful.
  Scenario Outline: A slow request is not hedged
    Given the route is "<kind>" with <attempts> attempts
    And <circumstance>
    And server 1 takes 0.25 s and then answers
    When a request is served
    Then 1 servers received it
    And the caller gets 200
    And the refusal of the hedge is "<refusal>"

    Examples:
      | kind           | attempts | circumstance                            | refusal      |
      | non-idempotent | 2        | nothing else                            | none         |
      | resumable      | 2        | nothing else                            | none         |
      | idempotent     | 1        | nothing else                            | none         |
      | idempotent     | 2        | the servers report 6 running, 1 waiting | busy         |
      | idempotent     | 2        | 4 hedges were sent lately               | share        |
      | idempotent     | 2        | half of the retry budget is used up     | retry-budget |
      | idempotent     | 2        | the event loop is late by 0.1 s         | late         |
      | idempotent     | 2        | all other servers are evacuated         | no-server    |
      | idempotent     | 2        | the other servers are avoided           | no-server    |

  # Guards against losers that go on, are blamed, or get the whole time again.
  Scenario: The slower copy is cancelled at once
    Given server 1 takes 1.0 s and then answers
    When a request is served and logged
    Then 2 servers received it
    And the answer took at most 0.04 s
    And the first server's call ended before the answer, with more time than the second
    And the first server is not avoided

  # Guards against requests that are lost by hedging, attempts beyond the limit, false
  # promises of 503, servers that are blamed wrongly, and waits for two silent servers.
  Scenario Outline: Both copies run, and either may fail
    Given the route is "idempotent" with <n> attempts
    And server 1 takes <first> s and then <ends>
    And server 2 takes <second> s and then <does>
    When a request is served and logged
    Then <servers> servers received it
    And the caller gets <outcome>
    And the hedge is logged as "<result>", and its server is <state>

    Examples:
      | n | first | ends                           | second | does                           | servers | outcome     | result    | state       |
      | 2 | 0.1   | answers                        | 1.0    | answers                        | 2       | 200         | cancelled | not avoided |
      | 2 | 0.1   | fails with 500                 | 0.2    | answers                        | 2       | 200         | won       | not avoided |
      | 2 | 0.1   | loses its answer               | 0.2    | answers                        | 2       | 200         | won       | not avoided |
      | 2 | 0.1   | truncates its answer           | 0.2    | answers                        | 2       | 200         | won       | not avoided |
      | 2 | 0.1   | reports that it did not run it | 0.2    | answers                        | 2       | 200         | won       | not avoided |
      | 2 | 0.1   | answers                        | 0.01   | loses its answer               | 2       | 200         | failed    | avoided     |
      | 2 | 0.1   | answers                        | 0.01   | truncates its answer           | 2       | 200         | failed    | avoided     |
      | 2 | 0.1   | answers                        | 0.01   | fails with 500                 | 2       | 200         | failed    | not avoided |
      | 2 | 0.1   | fails with 500                 | 0.2    | loses its answer               | 2       | 500         | failed    | avoided     |
      | 2 | 0.1   | reports that it did not run it | 0.2    | loses its answer               | 2       | 502 unknown | failed    | avoided     |
      | 2 | 0.1   | reports that it did not run it | 0.2    | reports that it did not run it | 2       | 503 not-run | failed    | not avoided |
      | 2 | 3.0   | answers                        | 3.0    | answers                        | 2       | 200         | cancelled | not avoided |
      | 3 | 3.0   | answers                        | 3.0    | answers                        | 2       | 200         | cancelled | not avoided |
      | 3 | 0.1   | fails with 500                 | 3.0    | answers                        | 3       | 200         | cancelled | avoided     |

  # Guards against copies that outlive the caller.
  Scenario: The caller leaves while both copies run
    Given server 1 takes 1.0 s and then answers
    And server 2 takes 1.0 s and then answers
    When a caller disconnects 0.2 s after its request
    Then the call to the first server was cancelled within 0.01 s
    And the hedge is logged as "cancelled", and its server is not avoided
