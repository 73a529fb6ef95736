Feature: Hedging shortens the slowest answers within a share of extra work

  # Guards against hedges that don't shorten the slowest answers, or exceed the share.
  Scenario Outline: One server of four is slow at times
    Given a "idempotent" route with 2 attempts and 4 servers
    And slow requests are hedged within a share of <share>
    And servers take 0.02 s, the first one 0.4 s for each request of <period>
    When 2000 requests are served in 20 s and measured
    Then 99 of 100 requests took <least> s to <most> s
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
    Then the extra attempts are at most 0 of the requests
