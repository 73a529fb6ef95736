Feature: Requests in a planned stop of their router

  # Guards against LOST: the kill after the grace period cut what still ran.
  Scenario Outline: A request that is at a server as the stop ends is told that it may have run
    Given a "<kind>" route with 2 attempts and 1 servers
    And every server never answers
    When a request is served, and a stop that ends after 1 s is requested <seconds> s later
    Then the caller gets 502 unknown within <at> s

    Examples:
      | kind           | seconds | at  |
      | idempotent     | 0.5     | 1.5 |
      | non-idempotent | 0.0     | 1.0 |
      | streaming      | 0.5     | 1.5 |

  # Guards against "may have run" for work that was never sent.
  Scenario: A request that no server has got as the stop ends is refused as not run
    Given a "non-idempotent" route with 1 attempts and 1 servers
    And connections take 3 s
    When a request is served, and a stop that ends after 1 s is requested 0.5 s later
    Then the caller gets 503 not-run within 1.5 s

  # Guards against LOST: a request that had waited was sent too late in the stop.
  Scenario: A request that waits for its connection while new ones begin to be refused isn't sent
    Given a "idempotent" route with 1 attempts and 1 servers
    And connections take 1 s
    When a request is served, and a stop that ends after 4 s and takes in nothing is requested 0.5 s later
    Then the caller gets 503 not-run
    And 0 servers received it

  # Guards against "may have run" where a true "not run" sends callers to another router:
  # a server refused the request, and the way to the next one took too long.
  Scenario: A request that a server refused isn't sent to another one too late in a stop
    Given a "non-idempotent" route with 2 attempts and 2 servers
    And 10 requests of the route that took 0.5 s
    And the first server reports that it did not run it
    And the second server never answers
    And connections take 0.4 s
    When a request is served, and a stop that ends after 1.1 s is requested 0.1 s later
    Then the caller gets 503 not-run
    And 1 servers received it

  # Guards against repeats that the end of a stop cuts.
  Scenario Outline: A request is repeated in a stop only if repeats usually end before it
    Given a "idempotent" route with 2 attempts and 2 servers
    And 10 requests of the route that took <usual> s
    And every server loses its answer after 1.0 s
    When a request is served, and a stop that ends after 1.5 s is requested 0.2 s later
    Then the caller gets 502 unknown
    And <count> servers received it

    Examples:
      | usual | count |
      | 1.0   | 1     |
      | 0.1   | 2     |

  # Guards against estimates from a single request.
  Scenario Outline: What requests of a route usually take is told by 95 of 100
    Given 19 requests of the route that took 0.2 s
    And <slow> requests of the route that took 5 s
    Then a stop that ends after 1 s <allows> another request

    Examples:
      | slow | allows       |
      | 0    | allows       |
      | 1    | allows       |
      | 2    | doesn't allow |

  # Guards against a stop that refuses requests which would end in time, as some callers
  # of the route take long to send theirs.
  Scenario: How long callers take to send their requests isn't part of the usual time
    Given a "idempotent" route with 1 attempts and 1 servers
    When 20 requests are served whose callers took 3 s to send them
    Then a stop that ends after 1 s allows another request

  # Guards against LOST: a stop that was learned of late, after a pause of the process,
  # failed on a request whose own time had just ended, and the process didn't stop.
  Scenario: A stop that is learned of after its end leaves requests alone that end already
    Given a part of a request with 1 s, which takes 0.5 s to release what it holds
    When a stop that ended after 0.5 s is learned of after 1.2 s
    Then the part ends with its timeout after 1.5 s
