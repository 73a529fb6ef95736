Feature: A request runs no more often than it may, and its answer is whole or visibly not

  Scenario Outline: What one failed attempt leads to
    Given a "<kind>" route with 2 attempts and 3 servers
    And the first server <fails>
    When a request is served
    Then <sends> servers got it
    And the caller gets <outcome>

    Examples:
      | kind           | fails                         | sends | outcome         |
      | idempotent     | refuses the connection        | 2     | 200             |
      | idempotent     | says that it did not run it   | 2     | 200             |
      | idempotent     | has its address taken         | 2     | 200             |
      | idempotent     | loses its answer              | 2     | 200             |
      | idempotent     | answers without signature     | 2     | 200             |
      | idempotent     | answers another request       | 2     | 200             |
      | idempotent     | cuts its answer               | 2     | 200             |
      | idempotent     | fails with 500                | 2     | 200             |
      | idempotent     | is silent                     | 2     | 200             |
      | non-idempotent | refuses the connection        | 2     | 200             |
      | non-idempotent | says that it did not run it   | 2     | 200             |
      | non-idempotent | has its address taken         | 2     | 200             |
      | non-idempotent | loses its answer              | 1     | 502 unknown     |
      | non-idempotent | answers without signature     | 1     | 502 unknown     |
      | non-idempotent | answers another request       | 1     | 502 unknown     |
      | non-idempotent | cuts its answer               | 1     | 502 unknown     |
      | non-idempotent | fails with 500                | 1     | 500             |
      | non-idempotent | is silent                     | 1     | 504 unknown     |
      | streaming      | refuses the connection        | 2     | 200             |
      | streaming      | says that it did not run it   | 2     | 200             |
      | streaming      | loses its answer              | 1     | 502 unknown     |
      | streaming      | cuts its answer               | 1     | a cut           |
      | streaming      | fails with 500                | 1     | 500             |
      | resumable      | loses its answer              | 2     | 200             |
      | resumable      | cuts its answer               | 2     | 200             |
      | resumable      | fails with 500                | 2     | 200             |

  Scenario: A route with one attempt is sent to one server
    Given a "idempotent" route with 1 attempts and 3 servers
    And the first server loses its answer
    When a request is served
    Then 1 servers got it
    And the caller gets 502 unknown

  Scenario: A refusal says that the request was not run only where that is so
    Given a "idempotent" route with 2 attempts and 3 servers
    And the first server loses its answer
    And the second server says that it did not run it
    When a request is served
    Then the caller gets 502 unknown

  Scenario: Every server refuses
    Given a "non-idempotent" route with 3 attempts and 3 servers
    And every server says that it did not run it
    When a request is served
    Then 3 servers got it
    And the caller gets 503 not-run

  Scenario: No server is known
    Given a "idempotent" route with 2 attempts and 0 servers
    When a request is served
    Then the caller gets 503 not-run within 0.01 s

  Scenario: A failure of the last server reaches the caller as it is
    Given a "idempotent" route with 2 attempts and 3 servers
    And every server fails with 500
    When a request is served
    Then 2 servers got it
    And the caller gets 500

  Scenario: A resumed stream has each event once and in order
    Given a "resumable" route with 2 attempts and 3 servers
    And the first server cuts its answer
    When a request is served
    Then the caller has events 1 to 6, each once
    And the second server was asked to go on after event 3

  Scenario: A caller that goes on after an event tells the server so
    Given a "resumable" route with 2 attempts and 3 servers
    When a request that has event 4 is served
    Then the first server was asked to go on after event 4

  Scenario: A stream never ends as whole where it was cut
    Given a "streaming" route with 2 attempts and 3 servers
    And the first server cuts its answer
    When a request is served
    Then the answer is not marked as whole

  Scenario: Servers hear of the time that is left
    Given a "idempotent" route with 2 attempts and 3 servers
    And the first server is silent
    When a request with a deadline of 1.5 s is served
    Then the second server has less time than the first

  Scenario: The route's timeout ends a request
    Given a "non-idempotent" route with 1 attempts and 1 servers
    And every server is silent
    When a request with a deadline of 60 s is served
    Then the caller gets 504 unknown within 4.1 s

  Scenario: Repeats stop where the fleet's budget ends
    Given a "idempotent" route with 2 attempts and 3 servers
    And every server loses its answer
    When 200 requests are served in 5 s
    Then the servers got at most 200 + 0.2 x 200 + 50 of them

  Scenario: Repeats of several routers stay within one budget
    Given a "idempotent" route with 2 attempts and 3 servers
    And every server loses its answer
    And 5 routers share the budget
    When 200 requests are served in 5 s
    Then the servers got at most 200 + 0.2 x 200 + 10 of them

  Scenario: A caller that leaves ends the call to the server
    Given a "streaming" route with 2 attempts and 3 servers
    And the first server is silent
    When a caller leaves 0.2 s after its request
    Then the call to the first server was given up within 0.1 s

  Scenario: A server that failed is avoided by the next requests
    Given a "idempotent" route with 1 attempts and 3 servers
    And the first server loses its answer
    When a request is served
    And 9 more requests are served
    Then the first server got no more than 1 of them

  Scenario: Weights split requests between pools
    Given a route that sends 90 of 100 requests to "a" and 10 to "b"
    Then of 2000 requests 8 to 12 in 100 go to "b"
    And a request without weight never goes there

  Scenario Outline: A silent server holds a stream that may be resumed for a short time
    Given a "resumable" route with 2 attempts and 3 servers
    And the first server <stops>
    When a request is served
    Then the caller has events 1 to 6, each once
    And the answer took at most 1.6 s

    Examples:
      | stops              |
      | is silent          |
      | falls silent       |

  Scenario: A silent server ends no stream that can't be resumed
    Given a "streaming" route with 2 attempts and 3 servers
    And the first server falls silent
    When a request is served
    Then the answer took at least 3.9 s

  Scenario: The last server of a stream may be silent for as long as there is time
    Given a "resumable" route with 1 attempts and 3 servers
    And the first server falls silent
    When a request is served
    Then the answer took at least 3.9 s

  Scenario: A slow stream goes on where no repeat is left in the budget
    Given a "resumable" route with 2 attempts and 3 servers
    And 1000 routers share the budget
    And the first server falls silent
    When a request is served
    Then the answer took at least 3.9 s

  Scenario Outline: A deadline shorter than the usual one tells how long a caller waited
    Given 50 requests with deadlines of <usual> s
    Then a deadline of <deadline> s tells <waited> s

    Examples:
      | usual              | deadline | waited |
      | 15.0               | 15.0     | 0.0    |
      | 15.0               | 12.5     | 2.5    |
      | 15.0               | 20.0     | 0.0    |
      | 1.0 to 15.0        | 0.5      | 0.0    |

  Scenario Outline: A caller that goes on with its stream asks for an engine as a repeat
    Given a "resumable" route with 2 attempts and 3 servers
    When a request with a prompt that has event "<event>" is served
    Then the scheduler was asked for <what>

    Examples:
      | event | what            |
      | 4     | a repeat        |
      |       | a first attempt |

  Scenario Outline: Only a request that lost its server asks for an engine as a repeat
    Given a "streaming" route with 2 attempts and 3 servers
    And the first server <how>
    When a request with a prompt that has event "" is served
    Then the scheduler was asked at last for <what>

    Examples:
      | how                          | what            |
      | says that it did not run it  | a first attempt |
      | refuses the connection       | a repeat        |

  Scenario Outline: Without a scheduler, routers together leave two unread prompts a server
    Given a "streaming" route with 1 attempts and 4 servers
    And <routers> routers share the budget
    And every server is silent
    When 6 requests with prompts are served at once
    Then <sent> of them were sent

    Examples:
      | routers | sent |
      | 1       | 4    |
      | 4       | 2    |
      | 60      | 1    |
