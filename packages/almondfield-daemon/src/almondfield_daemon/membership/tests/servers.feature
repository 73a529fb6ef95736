Feature: Announcements of backend servers reach the schedulers that need them

  Background:
    Given a host "h0", and "h1" and "h2" that schedule "writing" and "board"

  Scenario: Only the scheduler of the selecting pool is notified, at once
    When server "engine-1" announces itself for "writing"
    And 0.05 s pass
    Then "h1" has received one announcement, of "engine-1"
    And "h2" has received no announcement

  Scenario: Repeated announcements are relayed in batches
    Given servers 1 to 40 announce themselves for "writing" 3 times in 3 s
    Then "h1" has received at most 54 relays and the newest load of every server

  Scenario: A leaving server is relayed at once
    Given server "engine-1" announces itself for "writing"
    And 0.3 s pass
    When server "engine-1" announces that it is leaving
    And 0.01 s pass
    Then the last received state of "engine-1" at "h1" is leaving

  # Guards against schedulers that go on assigning work to an evacuated data centre.
  Scenario: A server of an evacuated data centre gets no new work until the end
    Given server "engine-1" announces itself for "writing"
    And 0.3 s pass
    When "north" is evacuated
    And 0.3 s pass
    Then the last received state of "engine-1" at "h1" is leaving
    When the evacuation of "north" ends
    And 0.3 s pass
    Then the last received state of "engine-1" at "h1" is serving

  Scenario: An announcement of an earlier incarnation is ignored
    Given server "engine-1" announces itself for "writing" in incarnation 7
    When server "engine-1" announces itself for "writing" in incarnation 6
    And 1.0 s pass
    Then "h1" has received one announcement, of "engine-1"

  Scenario: A server that changes its model leaves its former pool
    Given server "engine-1" announces itself for "writing"
    When server "engine-1" announces itself for "board"
    And 0.05 s pass
    Then the last received state of "engine-1" at "h1" is leaving
    And "h2" has received one announcement, of "engine-1"

  Scenario: A new scheduler is notified of every server
    Given servers 1 to 5 announce themselves for "writing" 1 times in 1 s
    When "h2" gets the lease of "writing"
    And 0.3 s pass
    Then "h2" has received announcements of 5 servers

  Scenario: An unresponsive server is no longer relayed
    Given server "engine-1" announces itself for "writing"
    And 4.0 s pass
    When "h2" gets the lease of "writing"
    And 0.5 s pass
    Then "h2" has received no announcement
    And "h0" lists no server

  Scenario Outline: A server must match every field of a pool's selector
    Then selecting a server with <server> by a pool with <selector> gives <answer>

    Examples:
      | selector                         | server                               | answer |
      | {}                               | {}                                   | yes    |
      | {"model": "m"}                   | {"model": "m", "version": "2"}       | yes    |
      | {"model": "m"}                   | {"model": "n"}                       | no     |
      | {"model": "m", "version": "1"}   | {"model": "m", "version": "2"}       | no     |
      | {"adapters": ["a", "b"]}         | {"adapters": ["b"]}                  | no     |
      | {"adapters": ["b"]}              | {"adapters": ["a", "b"]}             | yes    |
      | {"label_by_name": {"r": "1"}}    | {"label_by_name": {"r": "1"}}        | yes    |
      | {"label_by_name": {"r": "1"}}    | {"label_by_name": {}}                | no     |
      | {}                               | {"kind": "service"}                  | no     |

  Scenario: A held server is relayed as leaving until it is released
    Given server "engine-1" announces itself for "writing"
    And 0.5 s pass
    When "engine-1" is held for 5.0 s
    And 0.05 s pass
    Then the last received state of "engine-1" at "h1" is leaving
    When server "engine-1" announces itself for "writing"
    And 0.5 s pass
    Then the last received state of "engine-1" at "h1" is leaving
    When "engine-1" is held for 0.0 s
    And 0.05 s pass
    Then the last received state of "engine-1" at "h1" is serving

  Scenario: A hold that is not renewed expires
    Given server "engine-1" announces itself for "writing"
    When "engine-1" is held for 5.0 s
    And 5.1 s pass
    And server "engine-1" announces itself for "writing"
    And 0.5 s pass
    Then the last received state of "engine-1" at "h1" is serving
