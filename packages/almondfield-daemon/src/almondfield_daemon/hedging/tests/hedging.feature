Feature: Slow requests are hedged after a high quantile, within a share of extra work

  # Guards against delays from too few or too old samples, and below the floor.
  Scenario Outline: The delay follows the recent durations
    Given hedging within a share of <share>
    And <count> durations from <least> s to <most> s
    When <age> s pass
    Then the delay is <delay> s

    Examples:
      | share | count | least | most  | age | delay |
      | 0.02  | 100   | 0.01  | 0.1   | 0   | 0.144 |
      | 0.2   | 100   | 0.01  | 0.1   | 0   | 0.123 |
      | 0.02  | 39    | 0.01  | 0.1   | 0   | none  |
      | 0.02  | 100   | 0.01  | 0.1   | 31  | none  |
      | 0.02  | 100   | 0.001 | 0.002 | 0   | 0.02  |

  # Guards against memory that grows with the requests or the routes.
  Scenario: Samples and routes are bounded
    Given hedging within a share of 0.02
    When 1000 routes have 300 durations each
    Then at most 64 routes with 256 durations are kept

  # Guards against a delay from routes whose work is shorter.
  Scenario: Each route has its own delay
    Given hedging within a share of 0.02
    And 100 durations from 0.01 s to 0.1 s
    Then the delay of another route is unknown

  # Guards against extra work beyond the share, and a share that is never given back.
  Scenario: The share holds for the window
    Given hedging within a share of 0.02
    Then 2 hedges of 149 requests are allowed
    And 0 hedges of 149 requests are allowed
    When 11 s pass
    Then 2 hedges of 149 requests are allowed
    And 0 hedges of 49 requests are allowed

  # Guards against copies that a busy pool or a late router can't use.
  Scenario Outline: A pool without free slots and a late router get no hedge
    Given hedging within a share of 0.02
    And <busy> of 10 slots are busy
    And the wait is noticed after <waited> s instead of 0.1 s
    And the event loop was late by <late> s
    Then the refusal is "<refusal>"

    Examples:
      | busy | waited | late | refusal |
      | 7    | 0.1    | 0    | none    |
      | 8    | 0.1    | 0    | busy    |
      | 12   | 0.1    | 0    | busy    |
      | 0    | 0.14   | 0.04 | none    |
      | 0    | 0.16   | 0    | late    |
      | 0    | 0.1    | 0.06 | late    |

  # Guards against hedges that leave no repeat for a failure.
  Scenario: Hedges leave half of the retry budget
    Given a retry budget of 20 repeats
    Then 10 hedges are allowed, and 10 retries after them
