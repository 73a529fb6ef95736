Feature: An idempotency key runs its request once

  Background:
    Given a router with servers "s1", "s2" and "s3"

  Scenario Outline: A repeat hears of the first run
    Given the claim answers <claim>
    When a POST with key "b1" is served
    Then the problem is <status> with outcome "<outcome>"
    And servers "" were called

    Examples:
      | claim       | status | outcome |
      | lost        | 502    | unknown |
      | mismatch    | 422    | not-run |
      | unavailable | 503    | not-run |
      | running     | 409    | unknown |
      | incomplete  | 502    | unknown |

  Scenario: A repeat waits for the running one and gets its answer
    Given the claim answers running twice, then answered
    When a POST with key "b1" is served
    Then it is answered
    And servers "" were called

  Scenario: The answer is stored whole
    When a POST with key "b1" is served
    Then it is answered
    And the key is settled with answer "ok"

  Scenario: An answer too large to keep is stored as such
    Given the answer has 100000 bytes
    When a POST with key "b1" is served
    Then the key is settled without a whole answer

  Scenario Outline: A failed run settles its key
    Given one call ends with <failure>
    And no slot comes free after the first
    When a POST with key "b1" is served
    Then the key is settled as <settled>

    Examples:
      | failure                  | settled |
      | connect before sending   | not run |
      | first-byte after sending | run     |

  Scenario Outline: A run without its caller
    Given the caller goes away while its request <phase>
    When a POST with key "b1" is served
    Then the key is settled <settled>
    And every slot is released

    Examples:
      | phase      | settled          |
      | waits      | as not run       |
      | runs       | with answer "ok" |

  Scenario: A caller that stops reading does not keep the key unsettled
    Given the answer has 30 parts
    When a POST with key "b1" is served to a caller that takes one part
    Then the key is settled once, when the caller is gone
    And every slot is released

  Scenario: An idempotent method needs no key
    When a GET with key "b1" is served
    Then it is answered
    And no key was claimed

  Scenario: A claim whose fate is unknown is freed once it appears
    Given the claim answers unavailable
    And the claim is stored late
    When a POST with key "b1" is served
    Then the problem is 503 with outcome "not-run"
    And the key is settled as not run at the third try
