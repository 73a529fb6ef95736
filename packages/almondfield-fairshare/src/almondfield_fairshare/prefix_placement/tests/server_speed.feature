Feature: Choice among plain servers of different speed

  Background:
    Given 60 routers and servers with 6 slots
      | server | running | slowdown |
      | quick  | 2       | 1.0      |
      | near   | 3       | 1.0      |
      | other  | 3       | 1.0      |
      | slow   | 0       | 2.5      |

  # Guards against requests to a server that has free slots but takes far longer for each,
  # and against routers that all send to the same quick server.
  Scenario: Routers with the same reports spread their requests over the quick servers
    When each router chooses a server
    Then "slow" is chosen by 0 of them
    And no server is chosen by more than 30 of them

  # Guards against a slow moment that counts for as long as the report of the load.
  Scenario: A slow moment is over after the time that it lasts
    When 0.7 s pass
    And each router chooses a server
    Then "slow" is chosen by 60 of them

  # Guards against a choice that differs where servers don't report their speed.
  Scenario: Without the figure the server with the least load is chosen
    Given servers that don't report their speed
    When each router chooses a server
    Then "slow" is chosen by 60 of them

  # Guards against a restarted server that is avoided for what an earlier start reported.
  Scenario: A restarted server begins without a slowdown
    Given "slow" has restarted and reports 1.0
    When each router chooses a server
    Then "slow" is chosen by 60 of them
