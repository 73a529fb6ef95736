Feature: Servers of an evacuated data centre get no request

  Scenario Outline: A request goes to another data centre
    Given a "<kind>" route with 2 attempts and 3 servers
    And only the first server is in "east", which is evacuated
    When <request> is served
    Then the caller gets 200
    And the first server received it 0 times

    Examples:
      | kind           | request                              |
      | idempotent     | a request                            |
      | non-idempotent | a request                            |
      | resumable      | a request that resumes after event 0 |
      | streaming      | a request with a prompt              |

  Scenario: The scheduler is told not to choose its servers
    Given a "streaming" route with 2 attempts and 3 servers
    And only the first server is in "east", which is evacuated
    When a request with a prompt is served
    Then the last request to the scheduler excluded the first server only

  # Guards against requests that are sent after the evacuation because their server was
  # chosen before it.
  Scenario Outline: A request that is assigned but not sent goes to another data centre
    Given a "<kind>" route with 2 attempts and 2 servers
    And only the first server is in "east"
    And connections take 0.2 s
    When "east" is evacuated 0.1 s after <request> came
    Then the caller gets 200
    And the first server received it 0 times

    Examples:
      | kind           | request                 |
      | idempotent     | a request               |
      | non-idempotent | a request               |
      | streaming      | a request with a prompt |

  Scenario: A decision of the scheduler that comes after the evacuation isn't followed
    Given a "streaming" route with 2 attempts and 2 servers
    And only the first server is in "east"
    And the scheduler assigns the first server after 0.2 s
    When "east" is evacuated 0.1 s after a request with a prompt came
    Then the caller gets 200
    And the first server received it 0 times

  Scenario: A request that runs continues to its end
    Given a "non-idempotent" route with 2 attempts and 2 servers
    And only the first server is in "east"
    And the first server answers after 1.0 s
    When "east" is evacuated 0.1 s after a request came
    Then the caller gets 200
    And the first server received it 1 times
    And the second server received it 0 times

  Scenario: A stream that is cut goes on in another data centre
    Given a "resumable" route with 3 attempts and 2 servers
    And only the first server is in "east"
    And the first server truncates its answer
    When "east" is evacuated 0.001 s after a request came
    Then the caller gets 200
    And the first server received it 1 times
    And the second server received it 1 times

  # Guards against the return to a server that was silent: it would be a new request.
  Scenario: A request doesn't return to a silent server
    Given a "resumable" route with 2 attempts and 2 servers
    And only the first server is in "east"
    And the first server is silent for 1.9 s before its first event
    And the second server answers after 1.0 s and then loses its answer
    When "east" is evacuated 1.2 s after a request came
    Then the first server received it 1 times

  Scenario Outline: A request is refused at once if all data centres are evacuated
    Given a "<kind>" route with 2 attempts and 3 servers
    And all servers are in evacuated data centres
    When <request> is served
    Then the caller gets 503 not-run within 0.01 s
    And it may return after 1 to 1 s
    And 0 servers received it

    Examples:
      | kind       | request                              |
      | idempotent | a request                            |
      | streaming  | a request with a prompt              |
      | resumable  | a request that resumes after event 4 |

  Scenario: Requests are served again after the end of an evacuation
    Given a "idempotent" route with 2 attempts and 2 servers
    And all servers are in evacuated data centres
    When a request is served
    And the evacuations end
    And a request is served
    Then the caller gets 200

  # Guards against refusals that wait for the body of the request.
  Scenario Outline: A request is refused by its head if all data centres are evacuated
    Given a router of a route with a target of 0.8 s, where no other prompt waits
    And the data centre of its servers is evacuated
    When <request> is read 0.0 s after it came
    Then the router <outcome>

    Examples:
      | request            | outcome                               |
      | a prompt           | refuses it, to be sent again in 1.0 s |
      | another request    | refuses it, to be sent again in 1.0 s |
      | a stream's take-up | passes it on                          |
