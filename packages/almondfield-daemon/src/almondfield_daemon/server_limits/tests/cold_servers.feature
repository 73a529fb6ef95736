Feature: Cold servers get no more than the bound from all routers together

  # Guards against COLD: after a restart of many servers, each router or scheduler sent them what
  # a warm server takes.
  Scenario Outline: Servers that become cold at once
    Given 60 routers and 24 servers of a pool of kind "<kind>", with 5.2 requests a second while cold
    When requests come at 300 a second for 10 s
    And after 4 s all servers start again
    Then no cold server got more than 12 requests in any second
    And all servers together got 80 to 140 requests a second from 6 to 9 s

    Examples:
      | kind   |
      | engine |
      | plain  |

  # Guards against COLD: what a lost leader permitted, what its successor permits and what routers
  # send meanwhile add up.
  Scenario Outline: The leader is lost and replaced while all servers are cold
    Given 60 routers and 24 servers of a pool of kind "<kind>", with 5.2 requests a second while cold
    When requests come at 300 a second for 12 s
    And after 6 s all servers start again
    And after <lost> s no host leads for <gap> s, then "c2"
    Then no cold server got more than 12 requests in any second
    And all servers together got <least> to 280 requests a second from <from> to <to> s

    Examples:
      | kind   | lost | gap | least | from | to   |
      | engine | 7.5  | 0   | 80    | 9    | 11   |
      | engine | 7.5  | 1   | 10    | 7.5  | 8.5  |
      | plain  | 7.5  | 1   | 10    | 7.5  | 8.5  |
      | engine | 5.9  | 0.3 | 10    | 7    | 8    |
      | plain  | 6.1  | 4   | 10    | 7    | 9    |

  # Guards against COLD: a router that is late sends what was permitted in seconds at once.
  Scenario: Routers are late while all servers are cold
    Given 60 routers and 24 servers of a pool of kind "plain", with 5.2 requests a second while cold
    When requests come at 300 a second for 10 s
    And after 4 s all servers start again
    And after 6 s no router sends anything for 2 s
    Then no cold server got more than 12 requests in any second

  # Guards against COLD: routers out of contact added their requests to those of the others.
  Scenario Outline: Some routers are out of contact while all servers are cold
    Given 60 routers and 24 servers of a pool of kind "<kind>", with 5.2 requests a second while cold
    When requests come at 300 a second for 10 s
    And after 6 s all servers start again
    And after 7 s 30 routers lose contact with the control hosts
    Then no cold server got more than 12 requests in any second

    Examples:
      | kind   |
      | engine |
      | plain  |

  # Guards against COLD: servers become cold at any moment, announcements come every 1.2 s, and a new
  # leader doesn't know what was sent to the servers while they were warm.
  Scenario: Engines that become cold unannounced get no more than the bound from the scheduler
    Given 60 routers and 6 servers of a pool of kind "engine", with 5.2 requests a second while cold
    When requests come at 600 a second for 14 s
    And each server becomes cold every 2 s without a word
    And after 5.5 s no host leads for 0 s, then "c2"
    Then no cold server got more than 12 requests in any second
    And the servers got over 9 requests a second each while warm

  # Guards against COLD: the rate jumped after the cold time, or never rose again.
  Scenario: The rate rises in steps after the cold time
    Given 20 routers and 10 servers of a pool of kind "plain", with 5.2 requests a second while cold
    When requests come at 900 a second for 12 s
    And after 2 s all servers start again
    Then all servers together got 30 to 65 requests a second from 5 to 8 s
    And all servers together got 65 to 320 requests a second from 8.05 to 8.5 s
    And all servers together got 700 to 1100 requests a second from 10 to 12 s

  # Guards against refused callers that return at the same moment.
  Scenario: Refused callers return spread over time, and streams come first
    Given 20 routers and 20 servers of a pool of kind "engine", with 5.2 requests a second while cold
    When requests come at 400 a second for 8 s, one of 10 to go on with a stream
    And after 2 s all servers start again
    Then of the streams a larger part was served than of the others by a factor of 1.5
    And no tenth of a second from 4 to 7 s has over 0.2 of the returns of the callers refused in a second
