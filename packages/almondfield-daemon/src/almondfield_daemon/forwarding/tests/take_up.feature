Feature: A stream goes on only in the pool and at the version that began it

  # Guards against an origin of an attempt that brought no event.
  Scenario Outline: The origin of a stream is that of the server that sent the first event
    Given a "<kind>" route with 2 attempts and 3 servers
    And the servers have versions "v1 v2 v2"
    And the first server <failure>
    When a request is served
    Then the recorded origins are "<origins>"

    Examples:
      | kind      | failure                        | origins |
      | resumable | truncates its answer           | s0 v1   |
      | resumable | loses its answer               | s1 v2   |
      | resumable | fails with 500                 | s1 v2   |
      | resumable | reports that it did not run it | s1 v2   |
      | streaming | answers                        |         |

  # Guards against a stream that goes on at another version within one answer.
  Scenario Outline: A truncated stream goes on at its version only
    Given a "resumable" route with 3 attempts and 3 servers
    And the servers have versions "<versions>"
    And the first server truncates its answer
    When a request is served
    Then servers "<received>" received it
    And the answer is <state>

    Examples:
      | versions | received | state                  |
      | v1 v2 v1 | s0 s2    | marked as complete     |
      | v1 v2 v2 | s0       | not marked as complete |

  # Guards against an attempt without events that binds a stream to a version.
  Scenario: A request without events may go to a server of another version
    Given a "resumable" route with 2 attempts and 2 servers
    And the servers have versions "v1 v2"
    And the first server loses its answer
    When a request is served
    Then the caller has events 1 to 6, each once

  Scenario Outline: A stream is taken up in the pool and at the version that began it
    Given a "resumable" route with 2 attempts and 3 servers
    And the servers have versions "v1 v2 v2"
    And the route leads to pools "<pools>"
    And stream "a" began in pool "q" at version "<version>"
    When a request that takes up stream "<stream>" after event 4 is served
    Then <outcome>

    Examples:
      | pools | version | stream | outcome                                    |
      | p q   | v1      | a      | pool "q" got it at server "s0"             |
      | p q   | v2      | a      | pool "q" got it at server "s1"             |
      | p     | v2      | a      | the caller gets 503 not-run within 0.01 s  |
      | p q   | v3      | a      | the caller gets 503 not-run within 0.01 s  |
      | p q   | v1      | other  | the caller gets 503 not-run within 0.01 s  |
      | p     | v1      |        | pool "p" got it at server "s0"             |
      | p q   | v1      |        | the caller gets 503 not-run within 0.01 s  |

  # Guards against an origin that expires while its caller takes the stream up again and again.
  Scenario: The origin of a stream that is taken up is recorded for its first attempt again
    Given a "resumable" route with 2 attempts and 2 servers
    And the servers have versions "v2 v1"
    And stream "a" began in pool "p" at version "v1"
    When a request that takes up stream "a" after event 4 is served
    Then attempts "r a" are recorded in pool "p" at version "v1"

  Scenario: A server without recent announcements gets no stream that is taken up
    Given a "resumable" route with 2 attempts and 2 servers
    And the servers have versions "v1 v1"
    And stream "a" began in pool "p" at version "v1"
    And server "s0" has sent no announcement lately
    When a request that takes up stream "a" after event 4 is served
    Then pool "p" got it at server "s1"

  # Guards against a stream whose only servers are excluded, as servers of other versions work.
  Scenario: Servers that all failed lately are not excluded from their version's streams
    Given a "resumable" route with 2 attempts and 3 servers
    And the servers have versions "v1 v1 v2"
    And stream "a" began in pool "p" at version "v1"
    And servers "s0 s1" failed lately
    When a request with a prompt that takes up stream "a" is served
    Then the scheduler was asked to exclude "s2"

  # Guards against a server that leaves or changes its version while the scheduler decides.
  Scenario Outline: An assignment is checked against the servers at its arrival
    Given a "resumable" route with 2 attempts and 3 servers
    And the servers have versions "v1 v1 v2"
    And stream "a" began in pool "p" at version "v1"
    And the scheduler assigns "s0" while the versions change to "<versions>"
    When a request with a prompt that takes up stream "a" is served
    Then servers "<received>" received it

    Examples:
      | versions | received |
      | v1 v1 v2 | s0       |
      | v2 v1 v2 | s1       |

  # Guards against events of a server whose restart with another version is announced after
  # it was chosen for a stream of its old version.
  Scenario Outline: A server that turns out to have another version brings no event of a stream
    Given a "resumable" route with 2 attempts and 2 servers
    And the servers have versions "v1 v1"
    And stream "a" began in pool "p" at version "v1"
    And <moment> the versions change to "v2 v1"
    When a request that takes up stream "a" after event 4 is served
    Then servers "<received>" received it
    And the caller has events 5 to 6, each once, from server "s1"

    Examples:
      | moment                     | received |
      | while the router connects, | s1       |
      | before the first event,    | s0 s1    |

  # Guards against a stream that goes on at the version which its server had before a restart.
  Scenario: A stream whose server restarted with another version before its first event ends there
    Given a "resumable" route with 3 attempts and 2 servers
    And the servers have versions "v1 v1"
    And the first server truncates its answer
    And before the first event, the versions change to "v2 v1"
    When a request is served
    Then servers "s0" received it
    And the answer is not marked as complete
    And the recorded origins are ""

  # Guards against a stream that goes on at another process than the one that was announced.
  Scenario Outline: A server that refused a connection gets no stream that is taken up
    Given a "resumable" route with 2 attempts and 2 servers
    And the servers have versions "<versions>"
    And stream "a" began in pool "p" at version "v1"
    And server "s0" refused a connection <seconds> s ago
    When a request that takes up stream "a" after event 4 is served
    Then <outcome>

    Examples:
      | versions | seconds | outcome                                   |
      | v1 v1    | 0.1     | pool "p" got it at server "s1"            |
      | v1 v2    | 0.1     | the caller gets 503 not-run within 0.01 s |
      | v1 v2    | 8.9     | the caller gets 503 not-run within 0.01 s |
      | v1 v2    | 9.1     | pool "p" got it at server "s0"            |

  Scenario: A stream that begins at a server that refused a connection binds to no version
    Given a "resumable" route with 2 attempts and 1 servers
    And the servers have versions "v1"
    And server "s0" refused a connection 0.1 s ago
    When a request is served
    Then the recorded origins are ""
    And the answer is marked as complete

  # Guards against events of a server whose end is seen after it was chosen for a stream.
  Scenario: A server that turns out to have refused a connection brings no event of a stream
    Given a "resumable" route with 2 attempts and 2 servers
    And the servers have versions "v1 v1"
    And stream "a" began in pool "p" at version "v1"
    And before the first event, server "s0" refuses a connection of another router
    When a request that takes up stream "a" after event 4 is served
    Then servers "s0 s1" received it
    And the caller has events 5 to 6, each once, from server "s1"
