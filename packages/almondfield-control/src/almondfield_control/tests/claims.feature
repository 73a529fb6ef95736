Feature: A request with an idempotency key runs at most once

  Scenario: the same key at two routers runs once, and its answer is stored
    Given a fleet of 5 hosts with 3 voters
    When h4 claims key "k" with fingerprint "p"
    And h5 claims key "k" with fingerprint "p"
    Then h4 receives ClaimGranted and h5 receives ClaimRunning
    When h4 settles its claim with an answer of 10 bytes
    And h5 claims key "k" with fingerprint "p"
    Then h5 receives ClaimAnswered
    When h5 claims key "k" with fingerprint "other"
    Then h5 receives ClaimMismatch

  Scenario: a claim and its answer survive a restart of all voters
    Given a fleet of 5 hosts with 3 voters
    When h4 claims key "k" with fingerprint "p"
    And h4 settles its claim with an answer of 10 bytes
    And all voters crash and start again
    And all hosts are ready again
    And h5 claims key "k" with fingerprint "p"
    Then h5 receives ClaimAnswered

  Scenario: a released claim can be claimed again
    Given a fleet of 5 hosts with 3 voters
    When h4 claims key "k" with fingerprint "p"
    And h4 releases its claim
    And h5 claims key "k" with fingerprint "p"
    Then h5 receives ClaimGranted

  Scenario: the claim of a router that restarted is lost, not free
    Given a fleet of 5 hosts with 3 voters
    When h4 claims key "k" with fingerprint "p"
    And host h4 crashes
    And h4 starts
    And 3 seconds pass
    And h5 claims key "k" with fingerprint "p"
    Then h5 receives ClaimLost

  Scenario: the claim of an unresponsive router is eventually lost
    Given a fleet of 5 hosts with 3 voters
    When h4 claims key "k" with fingerprint "p"
    And host h4 crashes
    And 40 seconds pass
    And h5 claims key "k" with fingerprint "p"
    Then h5 receives ClaimLost

  Scenario: without a quorum a claim receives ControlUnavailable
    Given a fleet of 5 hosts with 3 voters
    When the voters are partitioned from each other
    And 3 seconds pass
    And h4 claims key "k" with fingerprint "p"
    Then h4 receives ControlUnavailable

  Scenario: a key is free again after a day
    Given a fleet of 5 hosts with 3 voters
    When h4 claims key "k" with fingerprint "p"
    And h4 settles its claim with an answer of 10 bytes
    And the wall clocks advance by 24 hours
    And h5 claims key "k" with fingerprint "p"
    Then h5 receives ClaimGranted

  Scenario: an answer that is too large is stored without its body
    Given a fleet of 5 hosts with 3 voters
    When h4 claims key "k" with fingerprint "p"
    And h4 settles its claim with an answer of 100000 bytes
    And h5 claims key "k" with fingerprint "p"
    Then h5 receives ClaimAnswered without its body

  Scenario: many claims at once are sent in few messages
    Given a fleet of 5 hosts with 3 voters
    When h4 makes 200 claims at once
    Then every claim is granted, in at most 20 messages

  Scenario: fencing numbers increase, also across leaders
    Given a fleet of 5 hosts with 3 voters
    When h4 requests 3 fencing numbers
    And the leader crashes
    And all hosts are ready again
    And h4 requests 3 fencing numbers
    Then the fencing numbers increase
