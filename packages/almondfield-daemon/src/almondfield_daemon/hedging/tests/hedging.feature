Feature: Slow requests are hedged after a high quantile, within a share of extra work

  # Guards against delays from too few or too old samples or other routes' work, and below
  # the floor.
  Scenario Outline: The delay follows the recent durations
    Given hedging within a share of <share>
    And <count> durations from <least> s to <most> s
    When <age> s pass
    Then the delay is <delay> s, and that of another route is unknown

    Examples:
      | share | count | least | most  | age | delay |
      | 0.02  | 100   | 0.01  | 0.1   | 0   | 0.1432 |
      | 0.2   | 100   | 0.01  | 0.1   | 0   | 0.1227 |
      | 1     | 100   | 0.01  | 0.1   | 0   | 0.08182 |
      | 0.02  | 39    | 0.01  | 0.1   | 0   | none  |
      | 0.02  | 100   | 0.01  | 0.1   | 31  | none  |
      | 0.02  | 100   | 0.001 | 0.002 | 0   | 0.02  |

  # Guards against memory that grows with the requests or the routes.
  Scenario: Samples and routes are bounded
    Given hedging within a share of 0.02
    When 1000 routes have 300 durations each
    Then at most 64 routes with 256 durations are kept

  # Guards against extra work beyond the share, and a share that is never given back.
  Scenario: The share holds for the window
    Given hedging within a share of 0.02
    Then 2 hedges of 149 requests are allowed
    And 0 hedges of 149 requests are allowed
    When 11 s pass
    Then 2 hedges of 149 requests are allowed
    And 0 hedges of 49 requests are allowed
