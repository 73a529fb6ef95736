Feature: A listener takes in no more at a time than its host can work on

  # Guards against FAIR: one pass of a router's loop took in all that waited; its lease,
  # its scheduler and its readiness check had to wait for the pass.
  Scenario: Many callers at once don't hold up the other work of the event loop
    Given a listener for an application that works 0.3 ms on each request
    When 1500 callers have connected and sent a request before the loop runs
    Then every caller gets an answer
    And a timer never waited for more than 0.25 s of processor time

  # Guards against a 400 that is read as the answer to a request before the malformed one.
  Scenario: A request that is malformed behind two others takes no answer from them
    Given a listener whose gate refuses paths below /no/, and bodies of at most 10 bytes
    When a client sends "accepted, accepted, malformed" at once
    Then it gets answers with 200 200 and nothing else
    And its connection is closed

  # Guards against an application that runs on for a caller that is gone, as only the
  # newest request of the connection is told.
  Scenario: A request that runs learns that its caller is gone though another one waits
    Given a listener whose gate refuses paths below /no/, and bodies of at most 10 bytes
    When a client sends "accepted and waiting, accepted" and closes its side of the connection
    Then the application has been told "http.disconnect"
