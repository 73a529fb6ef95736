Feature: Routers keep the limits that servers name for all routers together

  Background:
    Given control hosts "c1" and "c2", of which "c1" leads, and routers "r1" to "r9"
    And server "s1" names a limit of 4 requests a second to all routers

  # Guards against LIMIT: what each router may send alone is the limit for all of them.
  Scenario: All routers together send what the server takes
    When all routers ask for 10 requests a second each for 8 s
    Then "s1" gets 28 to 34 requests

  Scenario: A single router may send all that the server takes
    When "r1" asks for 40 requests a second for 8 s
    Then "s1" gets 28 to 34 requests

  # Guards against LIMIT: a new leader doesn't know the limits and gives permits to all.
  Scenario: A new leader keeps the limit
    When all routers ask for 10 requests a second each for 4 s
    And "c2" replaces "c1" as the leader
    And all routers ask for 10 requests a second each for 4 s
    Then "s1" gets 24 to 34 requests

  # Guards against LIMIT: routers without a leader send what each of them may send alone.
  Scenario: Without a leader routers send no more than the server takes
    When no host leads
    And all routers ask for 10 requests a second each for 8 s
    Then "s1" gets 18 to 34 requests

  Scenario: Without replies of the leader routers send no more than the server takes
    When "c1" is partitioned
    And all routers ask for 10 requests a second each for 8 s
    Then "s1" gets 18 to 34 requests

  Scenario: A limit that falls holds at once
    When "s1" names a limit of 1 request a second to "r2"
    And all routers ask for 10 requests a second each for 8 s
    Then "s1" gets 6 to 10 requests

  # Guards against a server without requests, whose answers can't end its limit.
  Scenario: A server that takes none gets a request at times
    When "s1" names a limit of 0 requests a second to "r2"
    And all routers ask for 10 requests a second each for 8 s
    Then "s1" gets 3 to 5 requests

  Scenario: A limit ends for all routers with one answer that names none
    When "s1" names no limit to "r3", in the answer to a request sent now
    And all routers ask for 10 requests a second each for 2 s
    Then "s1" gets 180 to 180 requests

  # Guards against a limit that ends with an answer which was on its way as it was named.
  Scenario: An answer to an earlier request doesn't end a limit
    When "s1" names no limit to "r3", in the answer to a request sent 1 s ago
    And all routers ask for 10 requests a second each for 8 s
    Then "s1" gets 28 to 34 requests

  Scenario: A new start of the server has no limit
    When "s1" starts again
    And all routers ask for 10 requests a second each for 2 s
    Then "s1" gets 180 to 180 requests

  # Guards against a limit that no router is left to know of.
  Scenario: A router hears of limits that were named to others
    When router "r10" starts, and hears what the leader keeps
    And "s1" names no limit to "r10", in the answer to a request sent now
    And all routers ask for 10 requests a second each for 2 s
    Then "s1" gets 180 to 180 requests

  Scenario: A limit beyond what routers send is none
    When "s1" names a limit of 1000000 requests a second to "r1"
    Then "s1" needs no permit at "r1"
