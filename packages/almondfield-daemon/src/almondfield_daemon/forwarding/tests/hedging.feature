Feature: A slow request is sent to a second server within a share of extra work

  # Guards against hedges that don't shorten the slowest answers, or exceed the share.
  Scenario Outline: One server of four is slow at times
    Given a "idempotent" route with 2 attempts and 4 servers
    And slow requests are hedged within a share of <share>
    And ties between servers are broken at random
    And servers take 0.02 s, the first one 0.4 s for each request of <period>
    When 2000 requests are served in 20 s and measured
    Then 99 of 100 requests took at most <most> s
    And 99 of 100 requests took at least <least> s
    And the extra attempts are at most <share> of the requests

    Examples:
      | share | period | least | most |
      | 0     | 10     | 0.4   | 1.0  |
      | 0.02  | 10     | 0.02  | 0.1  |
      | 0     | 4      | 0.4   | 1.0  |
      | 0.08  | 4      | 0.02  | 0.1  |

  # Guards against copies that make a slow pool slower.
  Scenario: Hedging stops by itself if all servers become slow
    Given a "idempotent" route with 2 attempts and 4 servers
    And slow requests are hedged within a share of 0.02
    And servers take 0.02 s, the first one 0.02 s for each request of 1
    When 500 requests are served in 10 s and measured
    And servers take 0.2 s, the first one 0.2 s for each request of 1
    And 500 requests are served in 20 s and measured
    Then the extra attempts are at most 0.02 of the requests
    When 500 requests are served in 20 s and measured
    Then there are 0 extra attempts

  # Guards against hedges where they are unsafe or harmful.
  Scenario Outline: A slow request is not hedged
    Given a "<kind>" route with <attempts> attempts and 4 servers
    And slow requests are hedged within a share of 0.02
    And the pool took 0.02 s for each of 200 requests lately
    And <circumstance>
    And server 1 takes 0.25 s and then answers
    When a request is served
    Then 1 servers received it
    And the caller gets 200
    And the refusal of the hedge is "<refusal>"

    Examples:
      | kind           | attempts | circumstance                            | refusal      |
      | non-idempotent | 2        | nothing else                            |              |
      | resumable      | 2        | nothing else                            |              |
      | idempotent     | 1        | nothing else                            |              |
      | idempotent     | 2        | the servers report 6 running, 1 waiting | busy         |
      | idempotent     | 2        | 4 hedges were sent lately               | share        |
      | idempotent     | 2        | half of the retry budget is used up     | retry-budget |
      | idempotent     | 2        | the event loop is late by 0.1 s         | late         |
      | idempotent     | 2        | all other servers are evacuated         | no-server    |
      | idempotent     | 2        | the other servers are avoided           | no-server    |

  # Guards against losers that go on, are blamed, or get the whole time again.
  Scenario: The slower copy is cancelled at once
    Given a "idempotent" route with 2 attempts and 4 servers
    And slow requests are hedged within a share of 0.02
    And the pool took 0.02 s for each of 200 requests lately
    And server 1 takes 1.0 s and then answers
    When a request is served and logged
    Then 2 servers received it
    And the caller gets 200
    And the answer took at most 0.1 s
    And the call to the first server ended within 0.037 s of the request
    And server 1 is not avoided
    And the second server has less time than the first
    And the hedge is logged as "won"
    And no server has a request in flight

  # Guards against second copies that go on once the first one is answered.
  Scenario: The second copy is cancelled if the first is answered before
    Given a "idempotent" route with 2 attempts and 4 servers
    And slow requests are hedged within a share of 0.02
    And the pool took 0.02 s for each of 200 requests lately
    And server 1 takes 0.1 s and then answers
    And server 2 takes 1.0 s and then answers
    When a request is served and logged
    Then 2 servers received it
    And the caller gets 200
    And the answer took at most 0.15 s
    And server 2 is not avoided
    And the hedge is logged as "cancelled"
    And no server has a request in flight

  # Guards against requests that are lost by hedging, and false promises of 503.
  Scenario Outline: A copy fails after the request was hedged
    Given a "idempotent" route with 2 attempts and 4 servers
    And slow requests are hedged within a share of 0.02
    And the pool took 0.02 s for each of 200 requests lately
    And server 1 takes 0.1 s and then <first>
    And server 2 takes <after> s and then <second>
    When a request is served and logged
    Then 2 servers received it
    And the caller gets <outcome>
    And the hedge is logged as "<result>"
    And no server has a request in flight

    Examples:
      | first                          | after | second                         | outcome     | result |
      | fails with 500                 | 0.2   | answers                        | 200         | won    |
      | loses its answer               | 0.2   | answers                        | 200         | won    |
      | truncates its answer           | 0.2   | answers                        | 200         | won    |
      | reports that it did not run it | 0.2   | answers                        | 200         | won    |
      | answers                        | 0.01  | loses its answer               | 200         | failed |
      | answers                        | 0.01  | truncates its answer           | 200         | failed |
      | answers                        | 0.01  | fails with 500                 | 200         | failed |
      | answers                        | 0.01  | reports that it did not run it | 200         | failed |
      | fails with 500                 | 0.2   | loses its answer               | 500         | failed |
      | reports that it did not run it | 0.2   | loses its answer               | 502 unknown | failed |
      | reports that it did not run it | 0.2   | reports that it did not run it | 503 not-run | failed |

  # Guards against more attempts than the route allows, and waits for two silent servers.
  Scenario Outline: Both servers of a hedged request are silent
    Given a "idempotent" route with <attempts> attempts and 4 servers
    And slow requests are hedged within a share of 0.02
    And the pool took 0.02 s for each of 200 requests lately
    And server 1 takes <first> s and then <failure>
    And server 2 takes <second> s and then <failure>
    When a request is served
    Then <servers> servers received it
    And the caller gets 200
    And no server has a request in flight

    Examples:
      | attempts | first | second | failure        | servers |
      | 2        | 3.0   | 3.0    | answers        | 2       |
      | 3        | 3.0   | 3.0    | answers        | 2       |
      | 3        | 0.1   | 3.0    | fails with 500 | 3       |
      | 2        | 3.0   | 0.1    | answers        | 2       |

  # Guards against a lost server that keeps getting hedges.
  Scenario: The server of a hedge is lost
    Given a "idempotent" route with 2 attempts and 4 servers
    And slow requests are hedged within a share of 0.02
    And the pool took 0.02 s for each of 200 requests lately
    And server 1 takes 0.1 s and then answers
    And the second server loses its answer
    When a request is served
    Then the caller gets 200
    And server 2 is avoided

  # Guards against copies that outlive the caller.
  Scenario: The caller leaves while both copies run
    Given a "idempotent" route with 2 attempts and 4 servers
    And slow requests are hedged within a share of 0.02
    And the pool took 0.02 s for each of 200 requests lately
    And servers take 1.0 s, the first one 1.0 s for each request of 1
    When a caller disconnects 0.2 s after its request
    Then the call to the first server was cancelled within 0.01 s
    And no server has a request in flight
