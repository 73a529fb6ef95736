Feature: Servers of an evacuated data centre get no request

  # Guards against requests that are sent after the evacuation because their server was
  # chosen before it.
  Scenario Outline: A request that isn't sent yet goes to another data centre
    Given a "<kind>" route with 2 attempts and 2 servers
    And only the first server is in "east", where connections take 0.2 s
    When "east" is evacuated <seconds> s after <request> came
    Then the caller gets 200
    And the first server received it 0 times

    Examples:
      | kind           | seconds | request                 |
      | idempotent     | 0.0     | a request               |
      | non-idempotent | 0.1     | a request               |
      | streaming      | 0.1     | a request with a prompt |

  Scenario Outline: A request that runs continues, and a cut stream goes on elsewhere
    Given a "resumable" route with 2 attempts and 2 servers
    And only the first server is in "east", where connections take 0.0 s
    And the first server <what>
    When "east" is evacuated 0.001 s after a request came
    Then the caller gets 200
    And the first server received it 1 times
    And the second server received it <count> times

    Examples:
      | what                 | count |
      | answers after 1.0 s  | 0     |
      | truncates its answer | 1     |

  # Guards against the return to a server that was silent: it would be a new request.
  Scenario: A request doesn't return to a silent server
    Given a "resumable" route with 2 attempts and 2 servers
    And only the first server is in "east", where connections take 0.0 s
    And the first server is silent for 1.9 s before its first event
    And the second server loses its answer after 1.0 s
    When "east" is evacuated 1.2 s after a request came
    Then the first server received it 1 times

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
