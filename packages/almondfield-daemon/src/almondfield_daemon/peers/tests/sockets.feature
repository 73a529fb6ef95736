@sockets
Feature: Messages between hosts over TCP

  Background:
    Given hosts "a" and "b" on loopback, each behind a relay

  Scenario: A request gets its reply
    Then "a" sends report 5 to "b" over TCP and gets grant 5

  Scenario: A message of 300 kilobytes arrives whole
    Then "a" sends a report on 20000 teams to "b" over TCP and gets grant 1

  Scenario: Stalled connections are replaced
    Given "a" has sent a report to "b" over TCP
    When the open connections from "a" to "b" stall
    And 2.5 s pass over TCP
    Then "a" has replaced its connection
    And "a" sends report 6 to "b" over TCP and gets grant 6

  Scenario: An oversized frame closes only its own connection
    Given "a" has sent a report to "b" over TCP
    When another client sends 40 megabytes to "b"
    Then "a" sends report 7 to "b" over TCP and gets grant 7

  Scenario: Bytes of another protocol do not affect other connections
    Given "a" has sent a report to "b" over TCP
    When another client sends bytes of another protocol to "b"
    Then "a" sends report 8 to "b" over TCP and gets grant 8
