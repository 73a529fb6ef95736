Feature: Requests go only to servers that take work

  # Guards against DRAIN: a router that uses a server long after its answers say that it leaves.
  Scenario Outline: A server that leaves gets no request after its first answer
    Given a "<kind>" route with 2 attempts and 3 servers
    And answers of the first server say that it leaves
    And the first server <failure>
    When 60 requests <prompt> are served in 3 s
    Then the first server received 1 in all
    And no other request was refused

    Examples:
      | kind           | prompt          | failure                        |
      | idempotent     | without prompts | works                          |
      | idempotent     | without prompts | reports that it did not run it |
      | idempotent     | without prompts | fails with 500                 |
      | non-idempotent | without prompts | works                          |
      | streaming      | with prompts    | works                          |
      | resumable      | with prompts    | reports that it did not run it |
      | resumable      | with prompts    | truncates its answer           |

  # Guards against BUDGET: a router that goes on sending to a server that asked for time.
  Scenario Outline: A server with a retry time gets nothing until it ends, then one request
    Given a "<kind>" route with 2 attempts and 3 servers
    And the first server reports that it did not run it
    And answers of the first server give a retry time of 2 s
    When 60 requests <prompt> are served in 3 s
    Then the first server received 2 in all
    And its second request came 2.0 to 2.1 s after the first
    And no other request was refused

    Examples:
      | kind           | prompt          |
      | idempotent     | without prompts |
      | non-idempotent | without prompts |
      | streaming      | with prompts    |
      | resumable      | with prompts    |

  # Guards against BUDGET: requests that were chosen for a server before it asked for time.
  Scenario Outline: Nothing is sent amid a retry time by requests that wait for a connection
    Given a "<kind>" route with 2 attempts and 3 servers
    And connections take 0.4 s
    And the first server reports that it did not run it
    And answers of the first server give a retry time of 2 s
    When 20 requests <prompt> are served in 1 s
    Then the first server received 1 in all

    Examples:
      | kind           | prompt          |
      | idempotent     | without prompts |
      | non-idempotent | without prompts |
      | resumable      | with prompts    |

  # Guards against BUDGET: the first request after a retry time opens a server that asks again.
  Scenario Outline: A server that asks again each time gets one request after each time
    Given a "<kind>" route with 2 attempts and 3 servers
    And the first server reports that it did not run it
    And answers of the first server give a retry time of 0.5 s
    When 120 requests <prompt> are served in 2.9 s
    Then the first server received 6 in all

    Examples:
      | kind           | prompt          |
      | idempotent     | without prompts |
      | non-idempotent | without prompts |
      | resumable      | with prompts    |

  # Guards against BUDGET: an answer of no use for its request whose retry time is lost.
  Scenario Outline: A retry time counts in an answer that <says>
    Given a "<kind>" route with 2 attempts and 3 servers
    And the first server <says>
    And answers of the first server give a retry time of 2 s
    When 36 requests <prompt> are served in 1.8 s
    Then the first server received 1 in all

    Examples:
      | kind           | prompt          | says                                         |
      | idempotent     | without prompts | answers another request                      |
      | streaming      | with prompts    | answers another request                      |
      | streaming      | with prompts    | answers without signature                    |
      | idempotent     | without prompts | refuses without a name, on a kept connection |
      | streaming      | with prompts    | refuses without a name, on a kept connection |

  # Guards against a server that is left alone for what another one at its address says.
  Scenario: An answer of another server at the address says nothing
    Given a "idempotent" route with 2 attempts and 2 servers
    And the first server lost its address to another
    And answers of the first server give a retry time of 2 s
    When a request is served
    Then no notice was recorded

  # Guards against callers that wait, or return too early, while no server takes work.
  Scenario Outline: A request is refused at once if all servers gave a retry time
    Given a "<kind>" route with 3 attempts and 2 servers
    And every server reports that it did not run it
    And answers of the first server give a retry time of 4 s
    And answers of the second server give a retry time of 2.5 s
    When a request is served
    Then the caller gets 503 not-run
    And it may return after 2.4 to 2.5 s
    When 20 requests <prompt> are served in 2 s
    Then the first server received 1 in all
    And each was refused at once

    Examples:
      | kind           | prompt          |
      | non-idempotent | without prompts |
      | resumable      | with prompts    |

  Scenario: A request is refused at once if all servers leave
    Given a "idempotent" route with 2 attempts and 2 servers
    And answers of every server say that it leaves
    When a request is served
    And a request is served
    And a request is served
    Then the caller gets 503 not-run within 0.01 s

  # Guards against a resumed stream that reaches a server which takes no work.
  Scenario: A stream is resumed at a server that takes work
    Given a "resumable" route with 3 attempts and 3 servers
    And the first server truncates its answer
    And answers of the second server say that it leaves
    When a request is served
    And a request is served
    And a request is served
    Then the second server received 1 in all

  # Guards against a connection that takes long, while another answer closes the server.
  Scenario: Nothing is sent to a server that takes no work any more once its connection is there
    Given a "idempotent" route with 1 attempts and 2 servers
    And connections take 0.4 s
    And answers of the first server say that it leaves
    When 3 requests are served, 0.2 s apart
    Then the first server received 1 in all
    And no other request was refused

  # Guards against health that is judged by what servers say about further work.
  Scenario Outline: A server that takes no work is not avoided as a failed one
    Given a "idempotent" route with 2 attempts and 3 servers
    And the first server reports that it did not run it
    And answers of the first server <say>
    When a request is served
    Then the first server is not avoided

    Examples:
      | say                          |
      | say that it leaves            |
      | give a retry time of 2 s      |

  # Guards against a scheduler that places prompts at servers which take no work here.
  Scenario: The scheduler is told which servers take no work
    Given a "streaming" route with 1 attempts and 3 servers
    And answers of the first server say that it leaves
    When 2 requests with prompts are served in 1 s
    Then the last request to the scheduler excluded the first server only
