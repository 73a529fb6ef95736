Feature: A server's silence ends an answer only where another server takes it over

  # Guards against logs in which a silent server can't be told from one that broke off.
  Scenario Outline: The log tells whether the router or the server ended an attempt
    Given a "idempotent" route with 2 attempts and 3 servers
    And the first server <failure>
    When a request is served and logged
    Then the line of the failed attempt says that the server was <what>
    And the line of the request has <count> silent attempts

    Examples:
      | failure          | what       | count |
      | never answers    | silent     | 1     |
      | loses its answer | not silent | 0     |

  # Guards against streams that are broken off because their sound server pauses.
  Scenario Outline: A stream goes on at its silent server where no other can take it over
    Given a "resumable" route with 2 attempts and <servers> servers
    And <circumstance>
    And the first server is silent for 1.9 s <when>
    When a request is served
    Then 1 servers received it
    And the caller gets 200
    And the first server is not avoided

    Examples:
      | servers | circumstance                      | when                   |
      | 1       | nothing else                      | after event 3          |
      | 1       | nothing else                      | before its first event |
      | 1       | nothing else                      | before its answer      |
      | 3       | 1000 routers share the budget     | after event 3          |
      | 3       | the servers have versions "a b b" | after event 3          |
      | 3       | the other servers are avoided     | after event 3          |
      | 3       | the other servers are avoided     | before its first event |
      | 3       | the other servers are avoided     | before its answer      |

  # Guards against streams that are broken off as the server that takes over is full.
  Scenario Outline: A stream goes back to its silent server if all others are full
    Given a "resumable" route with <attempts> attempts and 3 servers
    And the other servers refuse as full
    And the first server is silent for 1.9 s <when>
    When a request is served
    Then the caller gets 200

    Examples:
      | attempts | when                   |
      | 2        | after event 3          |
      | 2        | before its first event |
      | 2        | before its answer      |
      | 3        | after event 3          |

  # Guards against requests that are lost as the server that takes over fails at once.
  Scenario Outline: A request goes back to its silent server if the next one fails at once
    Given a "<kind>" route with 2 attempts and 2 servers
    And the second server <failure>
    And the first server is silent for 1.9 s <when>
    When a request is served
    Then the caller gets 200

    Examples:
      | kind       | failure                   | when              |
      | resumable  | fails with 500            | after event 3     |
      | resumable  | loses its answer          | after event 3     |
      | resumable  | refuses the connection    | after event 3     |
      | resumable  | answers without signature | before its answer |
      | idempotent | loses its answer          | before its answer |
      | idempotent | refuses the connection    | before its answer |
      | idempotent | truncates its answer      | before its answer |
      | idempotent | fails with 500            | before its answer |

  # Guards against streams that are broken off because the scheduler has no room elsewhere.
  Scenario: A stream goes on at its silent engine if the scheduler refuses another one
    Given a "resumable" route with 2 attempts and 3 servers
    And the scheduler assigns the first server and then refuses
    And the first server is silent for 1.9 s after event 3
    When a request with a prompt is served
    Then 1 servers received it
    And the caller gets 200
    And the scheduler was asked 2 to 3 times

  # Guards against answers of sound servers that are given up for nothing.
  Scenario Outline: An idempotent request waits for its silent server if none can take it over
    Given a "idempotent" route with 2 attempts and <servers> servers
    And <circumstance>
    And the first server is silent for 1.9 s before its answer
    When a request is served
    Then the caller gets 200

    Examples:
      | servers | circumstance                  |
      | 1       | nothing else                  |
      | 3       | 1000 routers share the budget |
      | 3       | the other servers are avoided |
      | 3       | the other servers refuse as full |

  # Guards against work at two servers, and against places that are kept for nothing.
  Scenario: A server that goes on while another one is sought keeps its stream
    Given a "resumable" route with 2 attempts and 3 servers
    And the scheduler assigns the first server, and the second after 0.6 s
    And the first server is silent for 1.9 s after event 3
    When a request with a prompt is served
    Then 1 servers received it
    And the caller gets 200
    And no server counts the request as in flight

  # Guards against streams that lose their sound server long before their callers leave,
  # and against ones that wait for a silent server until they do.
  Scenario Outline: How long a silent server keeps a stream depends on its callers
    Given a "resumable" route with 2 attempts and 3 servers
    And targets of <target> s to the first event and <gap> s between events
    And the first server is silent for <silence> s <when>
    When a request is served
    Then <servers> servers received it
    And the caller gets 200
    And the answer took at most <longest> s

    Examples:
      | target | gap | silence | when                   | servers | longest |
      | 0.3    | 0.1 | 1.3     | after event 3          | 1       | 1.4     |
      | 0.3    | 0.1 | 3.0     | after event 3          | 2       | 1.5     |
      | 0.8    | 0.1 | 2.1     | after event 3          | 1       | 2.2     |
      | 0.8    | 0.1 | 2.1     | before its first event | 1       | 2.2     |
      | 0.8    | 0.1 | 2.1     | before its answer      | 1       | 2.2     |
      | 0.3    | 0.4 | 2.1     | after event 3          | 1       | 2.2     |
      | 0.8    | 0.1 | 3.5     | after event 3          | 2       | 2.4     |

  # Guards against a stream that runs at two servers at once.
  Scenario: A stream that another server takes over is closed at its silent server first
    Given a "resumable" route with 2 attempts and 3 servers
    And the first server is silent for 3 s after event 3
    When a request is served
    Then the caller gets 200
    And the first server is avoided
    And the second server received it after the first was closed
    And 34 of 35 repeats are left

  # Guards against places that are kept for callers that have left.
  Scenario Outline: A caller that leaves while its server is silent leaves nothing behind
    Given a "resumable" route with 2 attempts and 3 servers
    And the scheduler assigns the first server, and the second after <delay> s
    And the first server is silent for 3 s after event 3
    When a caller with a prompt leaves after <left> s
    Then 1 servers received it
    And no server counts the request as in flight

    Examples:
      | delay | left |
      | 0.6   | 1.2  |
      | 0.6   | 1.7  |
      | 0.6   | 2.0  |

  # Guards against a dead server that gets all requests, as nobody takes them over.
  Scenario: A server that is silent until the deadline is avoided
    Given a "resumable" route with 2 attempts and 1 servers
    And the first server never answers
    When a request is served
    Then the caller gets 504 unknown
    And the first server is avoided

  # Guards against streams that end as their sound server, left while it was silent, isn't
  # asked again although no other one has taken them over.
  Scenario Outline: A stream goes back to its silent server although <circumstance>
    Given a "resumable" route with 2 attempts and 3 servers
    And the other servers refuse as full
    And the first server is silent for 1.9 s after event 3
    When a stream is served and <circumstance>
    Then the caller gets 200

    Examples:
      | circumstance                                       |
      | its announcements stop meanwhile                   |
      | it says meanwhile that it leaves                   |
      | the scheduler has no room when it is to go back    |

  # Guards against streams that go on at another version: a server that was left long ago
  # may have restarted if it isn't announced.
  Scenario Outline: A stream goes back to a server without announcements only at once
    Given a "resumable" route with 2 attempts and 3 servers
    And the second and third server <failure>
    And the first server is silent for 1.9 s after event 3
    When a stream is served and its announcements stop meanwhile
    Then the first server received it <count> times

    Examples:
      | failure                       | count |
      | loses its answer              | 2     |
      | loses its answer after 1.0 s  | 1     |

  # Guards against streams of sound silent servers that end at the server that takes over.
  Scenario Outline: A stream of a silent server outlives the failure of the next server
    Given a "resumable" route with 2 attempts and 3 servers
    And the second and third server <failure>
    And the first server is silent for 1.9 s after event 3
    When a request is served
    Then the caller gets 200

    Examples:
      | failure           |
      | fails with 500    |
      | loses its answer  |
      | never answers     |
      | answers with 404  |

  # Guards against requests whose way back is given up at the head of an answer, the body
  # of which never comes.
  Scenario Outline: A request goes back to its silent server if the next answer is cut
    Given a "<kind>" route with 2 attempts and 3 servers
    And the second and third server cuts its answer after the head
    And the first server is silent for 1.9 s <when>
    When a request is served
    Then the caller gets 200

    Examples:
      | kind       | when              |
      | resumable  | after event 3     |
      | resumable  | before its answer |
      | idempotent | before its answer |

  # Guards against a retry budget that is used up by repeats that were never sent.
  Scenario: The repeat that a hand-over keeps is given back on a clock that goes on
    Given a "resumable" route with 2 attempts and 3 servers
    And each look at the clock takes 1 us
    And the first server is silent for 3 s after event 3
    When a request is served
    Then the caller gets 200
    And 34 of 35 repeats are left

  # Guards against a retry budget that is used up by callers that leave: a server is
  # found for a silent one in the same step of the event loop.
  Scenario: A caller that leaves as another server is found costs no repeat
    Given a "resumable" route with 2 attempts and 3 servers
    And the scheduler assigns the first server, and the second after 0 s
    And the first server is silent for 3 s after event 3
    When a caller with a prompt leaves as the scheduler decides again
    Then 1 servers received it
    And no server counts the request as in flight
    And 35 of 35 repeats are left

  # Guards against a retry budget that is used up by the repeats that are kept for ways
  # back: a further hand-over must not forget the one that is kept already.
  Scenario: Two hand-overs of one request keep no repeat once a server answers
    Given a "resumable" route with 3 attempts and 3 servers
    And the second server never answers
    And the first server is silent for 4 s after event 3
    When a request is served
    Then the caller gets 200
    And 33 of 35 repeats are left

  # Guards against the same where the server to go back to takes no work any more.
  Scenario: A way back that can't be taken costs no repeat
    Given a "resumable" route with 2 attempts and 3 servers
    And the second and third server loses its answer after 1.0 s
    And the first server is silent for 1.9 s after event 3
    When a stream is served and its announcements stop meanwhile
    Then the first server received it 1 times
    And 34 of 35 repeats are left

  # Guards against requests that wait at a silent next server until their deadline, or
  # beyond the time after which callers leave, and against work at two servers at once.
  Scenario: A stream whose next server is silent as well goes back before its caller leaves
    Given a "resumable" route with 2 attempts and 3 servers
    And the second and third server never answers
    And the first server is silent for 1.9 s after event 3
    When a request is served
    Then the caller gets 200
    And the answer took at most 1.95 s
    And 3 servers received it
    And the first server received it again after the second was closed
    And 33 of 35 repeats are left

  # Guards against the same for requests that aren't streams.
  Scenario: An idempotent request goes back from a next server that is silent as well
    Given a "idempotent" route with 2 attempts and 3 servers
    And the second and third server never answers
    And the first server is silent for 1.9 s before its answer
    When a request is served
    Then the caller gets 200
    And 3 servers received it

  # Guards against a way back that gives up a sound silent server for a dead one.
  Scenario: A stream goes on at its next server if the one it went back to stays silent
    Given a "resumable" route with 2 attempts and 3 servers
    And the first server never answers
    And the second server is silent for 1.9 s before its answer
    When a request is served
    Then the caller gets 200
    And 4 servers received it

  # Guards against requests that go to and fro between silent servers.
  Scenario: A request goes back to each silent server once
    Given a "resumable" route with 2 attempts and 3 servers
    And every server never answers
    When a request is served
    Then the caller gets 504 unknown
    And 4 servers received it
    And the first server received it 2 times
    And the second server received it 2 times
    And 32 of 35 repeats are left

  # Guards against ways back that the retry budget doesn't allow.
  Scenario: A stream goes back from its next silent server only within the retry budget
    Given a "resumable" route with 2 attempts and 3 servers
    And 15 routers share the budget
    And the second and third server never answers
    And the first server is silent for 1.9 s after event 3
    When a request is served
    Then the first server received it 1 times
    And the second server received it 1 times

  # Guards against streams that wait for a next server whose answer begins and has no event.
  Scenario Outline: A stream goes back from a next server that sends the head of its answer only
    Given a "resumable" route with 2 attempts and 3 servers
    And the second and third server is silent for 9 s before its first event
    And the first server is silent for 1.9 s <when>
    When a request is served
    Then the caller gets 200
    And the answer took at most 1.95 s
    And 3 servers received it
    And 33 of 35 repeats are left

    Examples:
      | when                   |
      | after event 3          |
      | before its first event |
      | before its answer      |

  # Guards against a limit for a server that takes over which cuts the stream that it sends.
  Scenario: A server that has taken a stream over is waited for like any other
    Given a "resumable" route with 3 attempts and 3 servers
    And the first server is silent for 9 s after event 3
    And the second server is silent for 1.3 s after event 1
    When a request is served
    Then the caller gets 200
    And 2 servers received it
    And 34 of 35 repeats are left

  # Guards against streams that are cut at servers which take over and turn out to be full:
  # a server that leaves finishes its streams, but gets no request any more.
  Scenario Outline: A stream stays at its silent server while that one takes no new work
    Given a "resumable" route with 2 attempts and 3 servers
    And <others>
    And answers of the first server say that it leaves
    And the first server is silent for 1.9 s <when>
    When a request is served
    Then the caller gets 200
    And 1 servers received it
    And the first server is not avoided

    Examples:
      | others                           | when                   |
      | nothing else                     | after event 3          |
      | the other servers refuse as full | after event 3          |
      | the other servers refuse as full | before its first event |

  # Guards against the same where the server begins to leave while the scheduler decides.
  Scenario: A stream stays at a silent server that leaves while another one is sought
    Given a "resumable" route with 2 attempts and 3 servers
    And the other servers refuse as full
    And the scheduler assigns the first server, and the second after 0.3 s
    And the first server is silent for 1.9 s after event 3
    When a stream with a prompt is served and its server leaves after 1.5 s
    Then the caller gets 200
    And 1 servers received it
    And no server counts the request as in flight
    And 35 of 35 repeats are left

  # Guards against the same for a server that a hand-over goes to.
  Scenario: A stream stays at its next server while that one takes no new work
    Given a "resumable" route with 3 attempts and 3 servers
    And answers of the second server say that it leaves
    And the second server is silent for 1.9 s before its first event
    And the first server never answers
    When a request is served
    Then the caller gets 200
    And 2 servers received it

  # Guards against the same where the next server begins to leave while the scheduler
  # decides, and then has no room.
  Scenario: A stream stays at its next server that leaves while another one is sought
    Given a "resumable" route with 3 attempts and 3 servers
    And the scheduler assigns the first and the second server, and refuses after 0.3 s
    And the second server is silent for 1.9 s before its answer
    And the first server never answers
    When a stream with a prompt is served and its next server leaves after 1.9 s
    Then the caller gets 200
    And 2 servers received it

  # Guards against streams that wait for a dead server because it was about to leave.
  Scenario: A stream is taken from a silent server that leaves and is unresponsive
    Given a "resumable" route with 2 attempts and 3 servers
    And the first server is silent for 9 s after event 3
    When a stream is served and the first server leaves and is unresponsive
    Then the caller gets 200
    And 2 servers received it

  # Guards against streams that stay at a silent server because they are its trial.
  Scenario: A stream is taken from a silent server that tries it after a refusal
    Given a "resumable" route with 2 attempts and 3 servers
    And an earlier request was refused for 0.1 s by the first server
    And the first server is silent for 9 s after event 3
    When a request is served
    Then the caller gets 200
    And 2 servers received it

  # Guards against a retry budget that is used up by repeats for which there is no server
  # or that no server gets.
  Scenario Outline: A repeat that is counted and not sent is given back
    Given a "<kind>" route with <attempts> attempts and <servers> servers
    And the second server refuses the connection
    And the first server <failure>
    When a request is served
    Then <left> of 35 repeats are left

    Examples:
      | kind       | attempts | servers | failure                               | left |
      | resumable  | 2        | 2       | loses its answer                      | 35   |
      | idempotent | 2        | 2       | fails with 500                        | 35   |
      | resumable  | 2        | 2       | is silent for 1.9 s after event 3     | 34   |
      | idempotent | 2        | 2       | is silent for 1.9 s before its answer | 34   |
      | resumable  | 2        | 3       | loses its answer                      | 34   |
      | resumable  | 2        | 3       | is silent for 9 s after event 3       | 34   |

  # Guards against repeats that are sent without being counted or counted without being
  # sent, and against requests that go to too many servers, whatever servers do.
  Scenario: Repeats are counted as servers get them, whatever the servers do
    When 300 requests meet servers that fail at random
    Then none of them broke a limit

  # Guards against a server's answer that is given up for one that never comes.
  Scenario: A failed answer that is held reaches its caller if no other one comes
    Given a "idempotent" route with 2 attempts and 2 servers
    And the first server fails with 500
    And the second server never answers
    When a request is served
    Then the caller gets 500

  # Guards against an answer that is dropped, and a request that runs twice, as the silent
  # server goes on in the iteration of the event loop in which another one is found.
  Scenario: A server whose data comes in the iteration in which another one is found keeps its stream
    Given a "resumable" route with 2 attempts and 3 servers
    When a prompt's silent server goes on right after the scheduler has found another one
    Then 1 servers received it
    And the caller gets 200
    And no server counts the request as in flight
