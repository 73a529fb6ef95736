Feature: Messages between hosts over connections that may stall

  Background:
    Given hosts "a" and "b" connected in memory

  Scenario: A request gets its reply
    When "a" sends report 5 to "b" and awaits the reply
    Then the reply is grant 5

  Scenario: A reply that arrives after the timeout is logged with its age
    Given the handler of "b" answers after 0.3 s
    When "a" sends a report to "b" and waits 0.1 s for the reply
    And 1.0 s pass
    Then "a" has logged a late reply after about 0.3 s
    And the late reply was passed on

  Scenario: The messages of one sender are handled once and in order
    When "a" sends 300 reports to "b" at once
    And 1.0 s pass
    Then "b" has handled reports 1 to 300 in order
    And "a" sent them in at most 20 frames

  Scenario: A waiting handler does not delay other messages of the sender
    Given the handler of relays at "b" waits for 5.0 s
    When "a" sends a relay to "b"
    Then "a" sends report 8 to "b" and gets grant 8

  # Guards against a leader that spends its processor time on heartbeats beside messages: with
  # 191 routers they were a third of its frames.
  Scenario: A link with messages has no heartbeats besides
    Given "a" and "b" have been connected for 2.0 s
    When "a" sends a report to "b" each 0.2 s for 6 s
    Then at most 32 frames went from "a" to "b", and as many back

  Scenario: A link with few messages has heartbeats between them
    Given "a" and "b" have been connected for 2.0 s
    When "a" sends a report to "b" each 2.0 s for 6 s
    Then no 0.35 s passed without a frame from "a" to "b"

  Scenario: A connection that stalls in one direction is replaced
    Given "a" and "b" have been connected for 2.0 s
    When every open connection from "a" to "b" stalls
    And 1.4 s pass
    Then "a" has opened a new connection to "b"
    When 0.5 s pass
    Then "b" is reachable from "a"
    And "a" sends report 6 to "b" and gets grant 6

  # Guards against a host that replaces connections, and drops what is queued for them,
  # while its own link is full.
  Scenario: A connection that is slow in both directions is kept
    Given "a" and "b" have been connected for 2.0 s
    When frames take longer, up to 1.6 s after 8 s
    And 5.0 s pass
    Then "a" has opened no new connection to "b"
    And "b" is reachable from "a"
    When every open connection from "a" to "b" stalls
    And 3.2 s pass
    Then "a" has opened a new connection to "b"

  Scenario: If one direction of a path fails, neither host is reachable
    Given "a" and "b" have been connected for 2.0 s
    When frames from "b" to "a" are lost
    And 1.4 s pass
    Then "b" is not reachable from "a"
    And "a" is not reachable from "b"
    When the network recovers
    And 2.0 s pass
    Then "b" is reachable from "a"
    And "a" is reachable from "b"

  Scenario: Repeated frames are dropped
    Given "a" and "b" have been connected for 2.0 s
    When every frame from "a" to "b" arrives a second time
    Then "b" handled no report twice
    And "b" counts drops for "repeated or overtaken"

  Scenario: Frames of an earlier incarnation are dropped
    Given "a" and "b" have been connected for 2.0 s
    And "a" restarts with the next incarnation
    And "a" and "b" have been connected for 2.0 s
    When every frame from "a" to "b" arrives a second time
    Then "b" counts drops for "earlier incarnation of the sender"

  Scenario: Frames of a host whose clock was set back before a restart are accepted
    Given "a" and "b" have been connected for 2.0 s
    And "a" restarts with the next incarnation
    And "a" and "b" have been connected for 2.0 s
    When "a" restarts with an earlier incarnation
    And 3.0 s pass
    Then "a" sends report 7 to "b" and gets grant 7
    And "b" sends report 8 to "a" and gets grant 8

  Scenario: A restarted host drops messages for its earlier incarnation
    Given "a" and "b" have been connected for 2.0 s
    When "b" restarts with the next incarnation
    And every frame from "a" to "b" arrives a second time
    Then "b" has handled no report
    And "b" counts drops for "meant for another incarnation"
    When 1.0 s pass
    Then "a" sends report 7 to "b" and gets grant 7

  Scenario: Frames that are damaged, wrongly sealed or for another host are dropped
    Given "a" and "b" have been connected for 2.0 s
    When frames with a wrong secret, truncated, corrupted and for "c" reach "b"
    Then "b" handled no report twice
    And "b" counts drops for "the frame is not sealed with the fleet secret"
    And "b" counts drops for "meant for another host"
    And "a" sends report 8 to "b" and gets grant 8

  Scenario: Arbitrary bytes, sealed or not, do not break the receiver
    When hypothesis sends arbitrary bytes, sealed and unsealed, to "b"
    Then "a" sends report 9 to "b" and gets grant 9

  Scenario: A host that is not in the settings is added on its first frame
    Given a host "new" whose settings name only itself and "b"
    When "new" sends report 4 to "b" and awaits the reply
    Then the reply is grant 4

  Scenario: A full queue drops the oldest one-way messages and keeps requests
    Given connections accept no frames
    When "a" sends report 1 to "b" as a request in the background
    And "a" sends 5000 reports to "b" at once
    Then "a" keeps at most 4096 messages for "b", including the request

  Scenario: An error in a handler affects only one reply
    Given the handler of "b" fails for report 3
    When "a" sends report 3 to "b" and awaits the reply
    Then there is no reply
    And "a" sends report 4 to "b" and gets grant 4

  # Guards against hosts that end by themselves: a reply that can't be encoded failed
  # outside of what catches the errors of handlers, in a task that all messages need.
  Scenario: A reply that cannot be encoded affects only this reply
    Given the handler of "b" replies to report 3 with a number beyond 64 bits
    When "a" sends report 3 to "b" and awaits the reply
    Then there is no reply
    And "b" counts drops for "can't be encoded"
    And "a" sends report 4 to "b" and gets grant 4

  # Guards against hosts that stop in the middle of telling others.
  Scenario: A message that cannot be encoded fails as if its host were not reached
    When "a" sends a report with a number beyond 64 bits to "b" and awaits the reply
    Then there is no reply
    And "a" counts drops for "can't be encoded"
    When "a" sends a report with a number beyond 64 bits to "b"
    Then "a" sends report 4 to "b" and gets grant 4

  # Guards against hosts that end by themselves because of a host that they are told of.
  Scenario: A host that cannot be connected to affects only its own link
    Given connections to "odd" raise an error
    When "b" hears of a host "odd" and sends it a report
    And 1.0 s pass
    Then "a" sends report 4 to "b" and gets grant 4
    And "b" sends report 5 to "a" and gets grant 5

  Scenario: An unused path carries no heartbeats
    When "a" sends report 5 to "b" and awaits the reply
    And 25.0 s pass
    Then no frame is sent for 5.0 s

  Scenario: A used path without messages carries one heartbeat per interval and direction
    Given "a" and "b" have been connected for 2.0 s
    Then at most 14 frames go from "a" to "b" in 3.0 s

  # Guards against FAIR: a busy scheduler handled as many frames of each router, so that one
  # with many requests had its replies seconds late.
  Scenario Outline: Requests to a host that handles few frames are answered in time
    Given "b" handles at most <frames> frames of "a" a second
    When "a" sends 100 requests a second to "b" for 10 s
    Then at least 0.9 of the requests of the last 4 s were answered within 0.6 s

    Examples:
      | frames |
      | 60     |
      | 25     |
      | 15     |

  # Guards against messages that wait once a host that was late handles them in time.
  Scenario: Messages to a host that was late go at once soon after
    Given "b" handles at most 15 frames of "a" a second
    When "a" sends 100 requests a second to "b" for 4 s
    And "b" handles at most 1000 frames of "a" a second
    And 3.0 s pass
    And "a" sends 20 requests a second to "b" for 6 s
    Then at least 0.9 of the requests of the last 3 s were answered within 0.02 s

  # Guards against a message that its receiver drops and its sender repeats for ever, so
  # that neither side says so.
  Scenario: A message that fits in no frame is refused where it is sent
    When "a" sends a report of 33 MiB to "b" and awaits the reply
    Then the request fails with "message too large"
    And "a" counts drops for "message too large"
    And "a" sends report 5 to "b" and gets grant 5

  # Guards against a host that goes over its memory: 4,096 messages of any size waited for
  # each other host.
  Scenario: Large messages that wait for a silent host are bounded in bytes
    Given connections accept no frames
    When "a" sends report 1 to "b" as a request in the background
    And "a" sends 100 one-way reports of 1 MiB to "b"
    Then "a" counts drops for "queue full"
    And "a" keeps at most 32 MiB for "b"
    When connections accept frames again
    And 12.0 s pass
    Then "a" keeps at most 0 MiB for "b"
    And "a" sends report 5 to "b" and gets grant 5
