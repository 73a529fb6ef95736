Feature: Routers ask the leading control host for engines

  Background:
    Given control hosts "c1" and "c2", of which "c1" leads, and router "r1"
    And engines "e1" and "e2"

  Scenario: A request gets a place at an engine
    When "r1" asks for an engine
    Then it has a place

  Scenario: The scheduler hears when answers begin and end
    When "r1" asks for 40 engines at once
    Then some were refused
    When every answer begins and ends
    And 0.1 s pass
    Then "r1" gets a place again

  Scenario: A host that does not lead gives no place, and the router goes on alone
    Given "r1" takes "c2" for the leader
    When "r1" asks for an engine
    Then it has no scheduler

  Scenario: A scheduler that is silent holds a request for a short time only
    Given "c1" is cut off
    When "r1" asks for an engine
    Then it has no scheduler after at most 0.1 s
    And the next request does not wait for one

  Scenario: The router asks again once the scheduler is back
    Given "c1" is cut off
    And "r1" asks for an engine
    When the cut heals
    And 0.4 s pass
    Then "r1" gets a place again

  Scenario: A new leader hears of what runs
    When "r1" asks for 10 engines at once
    And "c2" leads in place of "c1"
    And "r1" asks for an engine
    And 0.1 s pass
    Then "c2" knows 10 requests or more

  Scenario: A new leader sends a topic where the router last saw it
    Given "r1" asked for topic "t" 3 times
    When "c2" leads in place of "c1"
    Then topic "t" goes where it went before

  Scenario: A caller that leaves while it asks leaves nothing behind
    When a caller leaves while "r1" asks for an engine
    And 0.1 s pass
    Then "c1" knows 0 requests

  Scenario: A new leader is asked at once, though the one before fell silent
    Given "c1" is cut off
    And "r1" asks for an engine
    When "c2" leads in place of "c1"
    Then "r1" gets a place again
