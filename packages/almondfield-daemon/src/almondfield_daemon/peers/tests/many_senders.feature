Feature: A host that many others send messages to goes on with its other tasks

  Background:
    Given "b" and a voter are connected, and 100 other hosts to "b"

  # Guards against FAIR: a busy leader handled all that had come in one iteration of its event
  # loop, counted its voters' replies too late and stepped down, so that no host scheduled.
  Scenario: Other tasks run between the messages of many senders
    When each of the others sends 10 reports to "b" at once
    Then "b" has handled 1000 reports, those of each sender in order
    And at most 32 of them between two runs of another task

  # Guards against a leader that steps down though its voters answer.
  Scenario: A reply does not wait for the messages that came before it
    When each of the others sends 10 reports to "b" at once, and then the voter replies
    Then "b" got the reply before it had handled 100 of the reports

  # Guards against votes and entries of the log that wait behind the work of a scheduler.
  Scenario: A message that is handled concurrently waits for no turn
    When each of the others sends 10 reports to "b" at once, and then the voter sends a relay
    Then "b" began the relay before it had handled 100 of the reports

  Scenario: A sender of many messages doesn't delay the others
    When the first of the others sends 500 reports to "b" at once, and then the others one
    Then "b" handled the other hosts' reports before it had handled 300

  # Guards against FAIR: a busy host took the messages of its senders in turn, so that those of
  # the router of a hot team waited for seconds while others were answered at once.
  Scenario: The messages of a busy sender are handled before those that came later
    Given 50 messages of one sender that came 1 s before those of 100 others
    When all of them take turns
    Then the 50 take theirs before 20 of the others

  # Guards against a scheduler that doesn't know how late it is.
  Scenario: A handler knows how long its message waited for it
    Given each report takes "b" 0.2 s
    When the first of the others sends 3 reports to "b" at once, and then the others none
    Then the reports waited 0.0, 0.2 and 0.4 s
