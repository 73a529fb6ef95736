Feature: Routers request engines from the leading control host

  Background:
    Given control hosts "c1" and "c2", of which "c1" leads, and router "r1"
    And engines "e1" and "e2"

  Scenario: A request is assigned to an engine
    When "r1" requests an engine
    Then it is assigned to an engine

  Scenario: The scheduler receives reports of begun and ended answers
    When "r1" requests 40 engines at once
    Then some requests were admitted and some refused
    When every answer begins and ends
    And 0.1 s pass
    Then "r1" is assigned an engine again

  Scenario: A host that does not lead assigns no engine
    Given "r1" uses "c2" as the leader
    When "r1" requests an engine
    Then the request ends without a decision

  Scenario: An unresponsive scheduler delays a request only briefly
    Given "c1" is partitioned
    When "r1" requests an engine
    Then the request ends without a decision after at most 0.1 s
    And the next request is not delayed

  Scenario: The router uses the scheduler again once it is reachable
    Given "c1" is partitioned
    And "r1" requests an engine
    When the partition heals
    And 0.4 s pass
    Then "r1" is assigned an engine again

  Scenario: A new leader receives the requests in flight
    When "r1" requests 10 engines at once
    And "c2" replaces "c1" as the leader
    And "r1" requests an engine
    And 0.1 s pass
    Then "c2" has at least 10 requests in flight

  Scenario: A new leader follows the router's hint for a prefix
    Given "r1" requested an engine for prefix "t" 3 times
    When "c2" replaces "c1" as the leader
    Then prefix "t" goes to the same engine as before

  # Guards against SHORT: engines counted as used for 20 s after a router's last reports,
  # and the snapshot with them, were lost.
  Scenario: The last reports of a router are lost
    When "r1" requests 4 engines at once
    And 0.1 s pass
    And "c1" is partitioned
    And every answer begins and ends
    And 1.5 s pass
    And the partition heals
    And 1.2 s pass
    Then "c1" has 0 requests in flight

  # Guards against SHORT: a new leader knew what engines have cached only from the router
  # that asks, and let others prefill it again.
  Scenario: A new leader knows from one router what engines have cached for the others
    Given "r1" requested engines for 8 prefixes
    When "c2" replaces "c1" as the leader
    And "r1" requests an engine
    And 0.1 s pass
    Then each of the 8 prefixes goes to the same engine as before from "r2"

  # Guards against SHORT in the same way, where the engine has restarted since.
  Scenario: A new leader expects nothing at engines that have restarted
    Given "r1" requested engines for 8 prefixes
    When "e1" and "e2" restart
    And "c2" replaces "c1" as the leader
    And "r1" requests an engine
    And 0.1 s pass
    Then each of the 8 prefixes counts as uncached from "r2"

  # Guards against links to a new leader that are full of what routers remember.
  Scenario: A router tells a new leader a bounded number of prefixes
    Given "r1" has sent 1000 prefixes
    When "c2" replaces "c1" as the leader
    And "r1" requests an engine
    And 0.1 s pass
    Then "c2" knows of 1 to 128 prefixes

  # Guards against FAIR: all routers told a new leader all prefixes at once, so that it was
  # late from its first request on, and stepped down again.
  Scenario Outline: A router tells a new leader its latest prefixes first, others bit by bit
    Given "r1" has sent 1000 prefixes
    When "c2" replaces "c1" as the leader
    And "r1" requests an engine
    And <seconds> s pass
    Then "c2" knows of <least> to <most> prefixes

    Examples:
      | seconds | least | most |
      | 0.1     | 16    | 16   |
      | 1.0     | 48    | 80   |
      | 2.5     | 128   | 128  |

  Scenario: A router tells a leader that is replaced no more of its prefixes
    Given "r1" has sent 1000 prefixes
    When "c2" replaces "c1" as the leader
    And "r1" requests an engine
    And 0.1 s pass
    And "c1" replaces "c2" as the leader
    And "r1" requests an engine
    And 2.5 s pass
    Then "r1" told the scheduler of its prefixes 9 times

  # Guards against engines that count as full for 20 s after routers were killed.
  Scenario: A restarted router's earlier requests are dropped
    When "r1" requests 10 engines at once
    And "r1" restarts
    And "r1" requests an engine
    And the answer begins and ends
    And 0.1 s pass
    Then "c1" has 0 requests in flight

  Scenario: A request that is cancelled during admission leaves no state
    When a caller disconnects while "r1" requests an engine
    And 0.1 s pass
    Then "c1" has 0 requests in flight

  # Guards against an attempt that stays undecided after an error of the transport.
  Scenario: A request that fails with an error leaves no undecided attempt
    When the transport of "r1" raises an error while it requests an engine
    Then "r1" has no undecided attempt

  Scenario: A new leader is used at once while the previous one is unresponsive
    Given "c1" is partitioned
    And "r1" requests an engine
    When "c2" replaces "c1" as the leader
    Then "r1" is assigned an engine again

  # Guards against FAIR: a late scheduler lost all that it knew whenever its lease ran out
  # for a moment, refused every prompt for a while and was told of all prefixes again.
  Scenario: A scheduler whose lease runs out for a moment goes on
    Given "r1" requested an engine for prefix "t" 3 times
    When "r1" requests 10 engines at once
    And the lease of "c1" has run out for 0.02 s
    Then it is assigned to an engine
    When "r1" requests an engine
    And 0.1 s pass
    Then "c1" has at least 12 requests in flight
    And "r1" told the scheduler of its prefixes 0 times

  # Guards against a scheduler that goes on with what it knew before another one led.
  Scenario: A scheduler that leads in a later term is told anew
    Given "r1" requested an engine for prefix "t" 3 times
    When "c1" leads again in a later term
    And "r1" requests an engine
    And 0.1 s pass
    Then "r1" told the scheduler of its prefixes 1 times

  # Guards against FAIR: a scheduler that is behind spent its time on requests whose routers no
  # longer waited, so that each reply came seconds late.
  Scenario Outline: <request> that has waited <waited> s for a scheduler
    When "c1" handles <request> with a target of 0.8 s that has waited <waited> s
    Then it is <outcome>

    Examples:
      | request   | waited | outcome                            |
      | a request | 0.39   | assigned                           |
      | a request | 0.41   | refused, to be sent again in 0.3 s |
      | a repeat  | 0.41   | assigned                           |

  Scenario: What a team asked for counts for its share though it waited too long
    When "c1" handles a request with a target of 0.8 s that has waited 0.41 s
    Then "c1" knows of a demand of 5100 tokens

  # Guards against a scheduler that sends prompts to engines which are slow at the moment.
  Scenario: What an engine reports of its speed reaches the scheduler
    When "r1" requests an engine
    And its engine reports a slowdown of 2.5
    And 0.15 s pass
    Then "c1" knows of a slowdown of its engine of 1.9 to 2.3
    When 0.5 s pass
    Then "c1" knows of a slowdown of its engine of 1.0 to 1.1

  # Guards against a restarted engine that is avoided for what its earlier start reported.
  Scenario: What an earlier start of an engine reported is ignored
    When "r1" requests an engine
    And "e1" and "e2" restart
    And its engine reports a slowdown of 2.5
    And 0.15 s pass
    Then "c1" knows of a slowdown of its engine of 1.0 to 1.0

  # Guards against a host of another build, or one that is broken, whose reports change
  # what the scheduler predicts for longer than a slow moment, or end its handling.
  Scenario Outline: A report that can't be true is ignored
    When "r1" requests an engine
    And "r1" reports a slowdown of <slowdown> that is <age> s old
    And 0.05 s pass
    Then "c1" knows of a slowdown of its engine of 1.0 to 1.0

    Examples:
      | slowdown | age  |
      | nan      | 0    |
      | -1       | 0    |
      | 1e9      | 0    |
      | 2.5      | nan  |
      | 2.5      | -5   |
      | 2.5      | 1000 |

  # Guards against reports that grow with the number of engines and answers.
  Scenario: The reports of engines on their speed are bounded
    When "r1" requests an engine
    And 300 engines report 10 times each how fast they are
    And 0.2 s pass
    Then "r1" told the scheduler of the speed of at most 100 engines at a time
