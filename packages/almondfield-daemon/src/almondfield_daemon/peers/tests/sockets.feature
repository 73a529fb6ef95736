@sockets
Feature: Messages between hosts over TCP

  Background:
    Given hosts "a" and "b" on loopback, each behind a relay

  Scenario: A question gets its reply
    Then "a" asks "b" over TCP for report 5 and gets grant 5

  Scenario: A message of 300 kilobytes arrives whole
    Then "a" asks "b" over TCP about 20000 teams and gets grant 1

  Scenario: Connections that went silent are replaced
    Given "a" asked "b" over TCP
    When the open connections from "a" to "b" go silent
    And 2.5 s pass over TCP
    Then "a" has closed and dialled anew
    And "a" asks "b" over TCP for report 6 and gets grant 6

  Scenario: A frame that is too large ends its connection and nothing else
    Given "a" asked "b" over TCP
    When a stranger sends 40 megabytes to "b"
    Then "a" asks "b" over TCP for report 7 and gets grant 7

  Scenario: Bytes that are no frame do no harm
    Given "a" asked "b" over TCP
    When a stranger sends bytes of no protocol to "b"
    Then "a" asks "b" over TCP for report 8 and gets grant 8
