Feature: The model of a cache takes up what routers report of an earlier scheduler's time

  Background:
    Given a cache of 1000 tokens

  # Guards against a new scheduler that expects more at an engine than it can have cached.
  Scenario: Restored prefixes take half of a cache at most
    When prefixes "t0" to "t9" of 100 tokens are restored
    Then "t0, t1, t2, t3, t4" are cached of "t0" to "t9"

  # Guards against restored prefixes that displace what the new scheduler has sent itself.
  Scenario: Restored prefixes are evicted first, the least recent one before the others
    Given prompts "new0" to "new0" of 100 tokens are cached
    When prefixes "t0" to "t3" of 100 tokens are restored
    And prompts "own0" to "own7" of 100 tokens are cached
    Then "t0" are cached of "t0" to "t3"
    And "new0" are cached of "new0" to "new0"

  Scenario: A prefix that several routers report counts once
    When prefixes "t0" to "t3" of 100 tokens are restored
    And prefixes "t0" to "t4" of 100 tokens are restored
    Then "t0, t1, t2, t3, t4" are cached of "t0" to "t4"

  # Guards against SHORT: after a loss of power routers report before servers announce
  # themselves, and what they told was dropped.
  Scenario Outline: What is reported of an engine before it is known counts from then on
    When a scheduler is told of prefix "t0" at an engine that started at <reported>
    And the engine, which started at <started>, becomes known
    Then the engine has <tokens> tokens of prefix "t0"

    Examples:
      | reported | started | tokens |
      | 1000     | 1000    | 100    |
      | 1000     | 2000    | 0      |

  # Guards against memory that reports on engines which never come fill.
  Scenario: Reports on engines that are not known are bounded
    When a scheduler is told of 20000 prefixes at engines that do not come
    Then it holds at most 16384 of them

  # Guards against memory that parts without tokens fill, which no capacity in tokens bounds.
  Scenario: Parts without tokens are bounded by their number
    When 100000 prompts of 0 tokens are cached
    Then the cache has 4096 blocks
    When 10 prefixes of 0 tokens are restored
    Then the cache has 4096 blocks
