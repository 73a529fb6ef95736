Feature: Attempts show which prompts end servers, and which servers can answer

  # Guards against BUDGET and LOST: a prompt that ends servers isn't found, or a sound one is blamed.
  Scenario Outline: An attempt at a <kind> request whose server <behaviour>
    Given a "<kind>" route with 1 attempts and 1 servers
    And a record of crashes and sound answers
    And the only server <behaviour>
    When a prompt is served
    Then <crashes> crashes and <sound> sound answers are recorded

    Examples: streams
      | kind      | behaviour                                        | crashes | sound |
      | streaming | answers whole                                    | 0       | 1     |
      | streaming | ends before the head                             | 1       | 0     |
      | streaming | ends before the first event                      | 1       | 0     |
      | streaming | ends 0.5 s after the first event                 | 1       | 0     |
      | streaming | ends 1.5 s after the first event                 | 0       | 1     |
      | streaming | times out before the head                        | 0       | 0     |
      | streaming | times out 0.5 s after the first event            | 0       | 0     |
      | streaming | answers whole, framed by the connection          | 0       | 0     |
      | streaming | answers for 1.5 s, framed by the connection      | 0       | 1     |
      | streaming | answers whole, with status 500                   | 0       | 0     |
      | streaming | answers whole, without an event                  | 0       | 0     |
      | streaming | refuses                                          | 0       | 0     |

    Examples: other answers
      | kind       | behaviour                               | crashes | sound |
      | idempotent | answers whole                           | 0       | 1     |
      | idempotent | ends before the head                    | 1       | 0     |
      | idempotent | ends before the first event             | 1       | 0     |
      | idempotent | times out before the head               | 0       | 0     |
      | idempotent | answers whole, framed by the connection | 0       | 0     |
      | idempotent | answers whole, with status 500          | 0       | 0     |

  # Guards against BUDGET and LOST: a whole request that ends servers isn't found, or a sound one is
  # blamed. A stream that goes on proves nothing of its request before its end.
  Scenario Outline: A whole <kind> request whose server <behaviour>
    Given a "<kind>" route with 1 attempts and 1 servers
    And a record of crashes and sound answers
    And the only server <behaviour>
    When a request without a prompt is served
    Then <crashes> crashes and <sound> sound answers of the whole request are recorded

    Examples: streams
      | kind      | behaviour                                   | crashes | sound |
      | streaming | answers whole                               | 0       | 1     |
      | streaming | ends before the head                        | 1       | 0     |
      | streaming | ends 0.5 s after the first event            | 1       | 0     |
      | streaming | ends 1.5 s after the first event            | 1       | 0     |
      | streaming | times out before the head                   | 0       | 0     |
      | streaming | answers for 1.5 s, framed by the connection | 0       | 0     |
      | streaming | answers whole, without an event             | 0       | 0     |
      | streaming | refuses                                     | 0       | 0     |

    Examples: other answers
      | kind           | behaviour                               | crashes | sound |
      | idempotent     | answers whole                           | 0       | 1     |
      | non-idempotent | answers whole                           | 0       | 1     |
      | idempotent     | ends before the head                    | 1       | 0     |
      | non-idempotent | ends before the head                    | 1       | 0     |
      | idempotent     | ends before the first event             | 1       | 0     |
      | idempotent     | ends late in a large answer             | 1       | 0     |
      | idempotent     | answers whole, framed by the connection | 0       | 0     |
      | idempotent     | answers whole, with status 500          | 0       | 0     |
      | idempotent     | answers whole, with status 404          | 0       | 1     |
      | idempotent     | closes an idle connection               | 0       | 0     |

  # Guards against BUDGET: the end of a server taken for the end of an idle connection.
  Scenario: A connection that may have been idle is left to be proven
    Given a "idempotent" route with 1 attempts and 1 servers
    And a record of crashes and sound answers
    And the only server closes an idle connection
    When a prompt is served
    Then 0 crashes and 0 sound answers are recorded
    And 1 doubtful cuts are recorded with all parts of the request

  # Guards against BUDGET: an answer that a server cuts where it seems to end, taken as sound.
  Scenario Outline: A <kind> answer that ends with its connection waits for its proof
    Given a "<kind>" route with 1 attempts and 1 servers
    And a record of crashes and sound answers
    And the only server answers whole, framed by the connection
    When a prompt is served
    Then 0 crashes and 0 sound answers are recorded
    And 1 unproven answers are recorded

    Examples:
      | kind       |
      | streaming  |
      | idempotent |

  Scenario Outline: A server that <behaviour>
    Given a "streaming" route with 1 attempts and 1 servers
    And a record of crashes and sound answers
    And the only server <behaviour>
    When a prompt is served
    Then 0 crashes and 0 sound answers are recorded
    And <gone> servers are recorded as gone

    Examples:
      | behaviour                                               | gone |
      | accepts no connection                                   | 1    |
      | times out at its connection                             | 0    |
      | can't be connected to, for a reason of the router's own | 0    |

  # Guards against BUDGET: repeats, resumed and taken-up streams that aren't held back.
  Scenario Outline: A request whose part is quarantined is refused before anything is asked
    Given a "<kind>" route with 3 attempts and 2 servers
    And a record of crashes and sound answers
    And the prompt is quarantined for 42 s
    When <request> is served
    Then the caller gets 503 not-run
    And it may return after 42 to 42 s
    And neither the scheduler nor a server was asked

    Examples:
      | kind       | request                      |
      | idempotent | a prompt                     |
      | resumable  | a prompt                     |
      | resumable  | a taken-up prompt            |

  Scenario: A request is refused if its part is quarantined while the scheduler decides
    Given a "resumable" route with 3 attempts and 2 servers
    And a record of crashes and sound answers
    And the prompt is quarantined for 42 s while the scheduler decides
    When a prompt is served
    Then the caller gets 503 not-run
    And no server was asked

  Scenario: A request that has ended a server isn't sent again once its part is quarantined
    Given a "resumable" route with 3 attempts and 2 servers
    And a record of crashes and sound answers
    And the only server ends before the first event
    And the prompt is quarantined for 42 s by the first crash
    When a prompt is served
    Then the caller gets 502 unknown
    And 1 attempts were made in all
