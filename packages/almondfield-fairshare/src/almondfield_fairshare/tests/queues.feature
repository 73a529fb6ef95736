Feature: Router queues are bounded, and refusals are immediate

  Background:
    Given a fleet of 1 hosts with 1 servers of 1 slots
    And a request of team "long" that runs for 5 s

  Scenario: A request is refused when its queue deadline passes
    When team "bar" sends a request with a deadline of 1 s
    Then it is refused as "queue-deadline" after 1 s with a retry time
    And nothing waits

  Scenario: A full queue refuses at once
    Given team "bar" has 3 requests waiting with a queue limit of 3
    When team "bar" sends a request with a queue limit of 3
    Then it is refused as "queue-full" after 0 s with a retry time

  Scenario: A team with many requests does not displace one with few
    Given the router may queue 10 requests
    And team "flood" has 10 requests waiting with a queue limit of 100
    When team "bar" sends a request with a deadline of 30 s
    Then it waits, and one request of "flood" is refused as "memory"

  Scenario: The total size of waiting bodies is bounded
    Given the router may queue 1000 bytes
    And team "flood" has 2 requests of 450 bytes waiting
    When team "flood" sends a request with a body of 450 bytes
    Then it is refused as "memory" after 0 s with a retry time

  Scenario: A cancelled request leaves the queue
    When team "bar" sends a request with a deadline of 30 s
    And it is cancelled
    Then nothing waits

  Scenario: A draining router refuses new requests
    When the router drains
    And team "bar" sends a request with a deadline of 30 s
    Then it is refused as "draining" after 0 s

  Scenario: A pool without servers has no capacity
    Given a fleet of 1 hosts with 0 servers of 1 slots
    When team "bar" sends a request with a deadline of 2 s
    Then it is refused as "no-capacity" after 2 s with a retry time
