Feature: Queues of a router are bounded and answer at once

  Background:
    Given a fleet of 1 hosts with 1 servers of 1 slots
    And a request of team "long" that runs for 5 s

  Scenario: A request that waits past its deadline hears so on time
    When team "bar" asks with a deadline of 1 s
    Then it hears "queue-deadline" after 1 s with a time to come back
    And nothing waits

  Scenario: A full queue refuses at once
    Given team "bar" has 3 requests waiting of at most 3
    When team "bar" asks with a queue of at most 3
    Then it hears "queue-full" after 0 s with a time to come back

  Scenario: A flooding team takes no memory from a small one
    Given the router may hold 10 requests
    And team "flood" has 10 requests waiting of at most 100
    When team "bar" asks with a deadline of 30 s
    Then it waits, and one request of "flood" heard "memory"

  Scenario: Bodies that wait are bounded in bytes
    Given the router may hold 1000 bytes
    And team "flood" has 2 requests of 450 bytes waiting
    When team "flood" asks with a body of 450 bytes
    Then it hears "memory" after 0 s with a time to come back

  Scenario: A cancelled request leaves the queue
    When team "bar" asks with a deadline of 30 s
    And it is cancelled
    Then nothing waits

  Scenario: A draining router refuses new requests
    When the router drains
    And team "bar" asks with a deadline of 30 s
    Then it hears "draining" after 0 s

  Scenario: A pool without servers has no capacity
    Given a fleet of 1 hosts with 0 servers of 1 slots
    When team "bar" asks with a deadline of 2 s
    Then it hears "no-capacity" after 2 s with a time to come back
