Feature: A request with an idempotency key runs at most once

  Scenario: the same key at two routers runs once, and its answer is kept
    Given a fleet of 5 hosts with 3 voters
    When h4 claims key "k" for print "p"
    And h5 claims key "k" for print "p"
    Then h4 heard ClaimGranted and h5 heard ClaimRunning
    When h4 settles its claim with an answer of 10 bytes
    And h5 claims key "k" for print "p"
    Then h5 heard ClaimAnswered
    When h5 claims key "k" for print "other"
    Then h5 heard ClaimMismatch

  Scenario: a claim and its answer survive a restart of all voters
    Given a fleet of 5 hosts with 3 voters
    When h4 claims key "k" for print "p"
    And h4 settles its claim with an answer of 10 bytes
    And all voters crash and start again
    And all hosts are ready again
    And h5 claims key "k" for print "p"
    Then h5 heard ClaimAnswered

  Scenario: a claim that was given back is free
    Given a fleet of 5 hosts with 3 voters
    When h4 claims key "k" for print "p"
    And h4 gives its claim back
    And h5 claims key "k" for print "p"
    Then h5 heard ClaimGranted

  Scenario: the claim of a router that restarted is lost, not free
    Given a fleet of 5 hosts with 3 voters
    When h4 claims key "k" for print "p"
    And host h4 crashes
    And h4 starts
    And 3 seconds pass
    And h5 claims key "k" for print "p"
    Then h5 heard ClaimLost

  Scenario: the claim of a router that stays silent is lost in the end
    Given a fleet of 5 hosts with 3 voters
    When h4 claims key "k" for print "p"
    And host h4 crashes
    And 40 seconds pass
    And h5 claims key "k" for print "p"
    Then h5 heard ClaimLost

  Scenario: without a quorum a claim is certainly not known to be made
    Given a fleet of 5 hosts with 3 voters
    When the voters lose the paths between them
    And 3 seconds pass
    And h4 claims key "k" for print "p"
    Then h4 heard ControlUnavailable

  Scenario: a key is free again after a day
    Given a fleet of 5 hosts with 3 voters
    When h4 claims key "k" for print "p"
    And h4 settles its claim with an answer of 10 bytes
    And the clocks move on by 24 hours
    And h5 claims key "k" for print "p"
    Then h5 heard ClaimGranted

  Scenario: an answer that is too large is kept without its body
    Given a fleet of 5 hosts with 3 voters
    When h4 claims key "k" for print "p"
    And h4 settles its claim with an answer of 100000 bytes
    And h5 claims key "k" for print "p"
    Then h5 heard ClaimAnswered without its body

  Scenario: many claims at once travel in few messages
    Given a fleet of 5 hosts with 3 voters
    When h4 makes 200 claims at once
    Then every claim is granted, in at most 20 messages

  Scenario: fencing numbers only grow, also across leaders
    Given a fleet of 5 hosts with 3 voters
    When h4 takes 3 fencing numbers
    And the leader crashes
    And all hosts are ready again
    And h4 takes 3 fencing numbers
    Then the fencing numbers grow
