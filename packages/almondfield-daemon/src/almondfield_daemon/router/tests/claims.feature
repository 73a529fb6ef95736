Feature: A request with an idempotency key runs once

  Background:
    Given a router with servers "s1", "s2" and "s3"

  Scenario Outline: A repeated request reports the outcome of the first
    Given the claim answers <claim>
    When a POST with key "b1" is served
    Then the problem is <status> with outcome "<outcome>"
    And no server was called

    Examples:
      | claim       | status | outcome |
      | lost        | 502    | unknown |
      | mismatch    | 422    | not-run |
      | unavailable | 503    | not-run |
      | running     | 409    | unknown |
      | incomplete  | 502    | unknown |

  Scenario: A repeated request waits for the running one and returns its answer
    Given the claim answers running twice, then answered
    When a POST with key "b1" is served
    Then it is answered
    And no server was called

  Scenario: The complete answer is stored
    When a POST with key "b1" is served
    Then it is answered
    And the key is settled with answer "ok"

  Scenario: An answer over the size limit is stored as incomplete
    Given the answer has 100000 bytes
    When a POST with key "b1" is served
    Then the key is settled with an incomplete answer

  Scenario Outline: A failed run settles its key
    Given one call fails with <failure>
    And no slot becomes free after the first
    When a POST with key "b1" is served
    Then the key is settled as <settled>

    Examples:
      | failure                  | settled |
      | connect before sending   | not run |
      | first-byte after sending | run     |

  Scenario Outline: A run continues without its caller once it may have been sent
    Given the caller disconnects while its request <phase>
    When a POST with key "b1" is served
    Then the key is settled <settled>
    And every slot is released

    Examples:
      | phase      | settled          |
      | waits      | as not run       |
      | runs       | with answer "ok" |

  Scenario: A caller that stops reading does not keep the key unsettled
    Given the answer has 30 parts
    When a POST with key "b1" is served to a caller that reads one part
    Then the key is settled once, after the caller disconnects
    And every slot is released

  Scenario: An idempotent method needs no key
    When a GET with key "b1" is served
    Then it is answered
    And no key was claimed

  Scenario: A claim of unknown outcome is released once it is stored
    Given the claim answers unavailable
    And the claim is stored late
    When a POST with key "b1" is served
    Then the problem is 503 with outcome "not-run"
    And the key is settled as not run on the third attempt
