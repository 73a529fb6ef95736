Feature: Messages between hosts over connections that may go silent

  Background:
    Given hosts "a" and "b" that talk over connections in memory

  Scenario: A question gets its reply
    When "a" asks "b" for report 5
    Then the reply is grant 5

  Scenario: Messages of one sender are handed over in order, once
    When "a" sends 300 reports to "b" at once
    And 1.0 s pass
    Then "b" has handled reports 1 to 300 in order
    And "a" sent them in at most 20 frames

  Scenario: A handler that waits holds up no other message of its sender
    Given the handler of relays at "b" waits for 5.0 s
    When "a" asks "b" to take a relay
    Then "a" asks "b" for report 8 and gets grant 8

  Scenario: A connection that goes silent in one direction is dialled anew
    Given "a" and "b" have talked for 2.0 s
    When every open connection from "a" to "b" goes silent
    And 1.4 s pass
    Then "a" has dialled "b" anew
    When 0.5 s pass
    Then "a" reaches "b"
    And "a" asks "b" for report 6 and gets grant 6

  Scenario: A path that is dead in one direction is not reachable at either end
    Given "a" and "b" have talked for 2.0 s
    When nothing gets from "b" to "a" any more
    And 1.4 s pass
    Then "a" does not reach "b"
    And "b" does not reach "a"
    When the network is whole again
    And 2.0 s pass
    Then "a" reaches "b"
    And "b" reaches "a"

  Scenario: Frames sent again are dropped
    Given "a" and "b" have talked for 2.0 s
    When every frame from "a" to "b" arrives a second time
    Then "b" handled no report twice
    And "b" counts drops for "repeated or overtaken"

  Scenario: Frames of an earlier incarnation are dropped
    Given "a" and "b" have talked for 2.0 s
    And "a" restarts with the next incarnation
    And "a" and "b" have talked for 2.0 s
    When every frame from "a" to "b" arrives a second time
    Then "b" counts drops for "earlier incarnation of the sender"

  Scenario: A host whose calendar time was set back before it restarted is heard
    Given "a" and "b" have talked for 2.0 s
    And "a" restarts with the next incarnation
    And "a" and "b" have talked for 2.0 s
    When "a" restarts with an earlier incarnation
    And 3.0 s pass
    Then "a" asks "b" for report 7 and gets grant 7
    And "b" asks "a" for report 8 and gets grant 8

  Scenario: A restarted host takes nothing that was meant for its earlier life
    Given "a" and "b" have talked for 2.0 s
    When "b" restarts with the next incarnation
    And every frame from "a" to "b" arrives a second time
    Then "b" has handled no report
    And "b" counts drops for "meant for another incarnation"
    When 1.0 s pass
    Then "a" asks "b" for report 7 and gets grant 7

  Scenario: Frames with a wrong seal, cut short or for another host are dropped
    Given "a" and "b" have talked for 2.0 s
    When frames with a wrong secret, cut short, damaged and for "c" reach "b"
    Then "b" handled no report twice
    And "b" counts drops for "the frame is not sealed with the fleet secret"
    And "b" counts drops for "meant for another host"
    And "a" asks "b" for report 8 and gets grant 8

  Scenario: Sealed bytes of any kind never break a receiver
    When hypothesis offers sealed payloads and bare bytes to "b"
    Then "a" asks "b" for report 9 and gets grant 9

  Scenario: A host that the settings do not name is learned from its first frame
    Given a host "new" that only knows of "b"
    When "new" asks "b" for report 4
    Then the reply is grant 4

  Scenario: A full queue drops the oldest one-way messages and keeps questions
    Given nothing gets from "a" to "b" any more and nothing is taken
    When "a" asks "b" for report 1 in the background
    And "a" sends 5000 reports to "b" at once
    Then "a" holds at most 4096 messages for "b", the question among them

  Scenario: A fault in a handler costs one reply only
    Given the handler of "b" fails for report 3
    When "a" asks "b" for report 3
    Then there is no reply
    And "a" asks "b" for report 4 and gets grant 4

  Scenario: An unused path falls quiet
    When "a" asks "b" for report 5
    And 25.0 s pass
    Then no frame is sent for 5.0 s

  Scenario: An idle path costs one heartbeat per interval and direction
    Given "a" and "b" have talked for 2.0 s
    Then at most 14 frames go from "a" to "b" in 3.0 s
