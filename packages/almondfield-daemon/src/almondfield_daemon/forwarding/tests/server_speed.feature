Feature: Servers that report how long work takes

  # Guards against requests to servers that are slow at the moment, whether they answer or
  # refuse. Before, the first server received all 60, as ties go to it here.
  Scenario Outline: A server that is slow at the moment gets few requests
    Given a "idempotent" route with 2 attempts and 3 servers
    And answers of the first server report a slowdown of <slowdown>
    And the first server <failure>
    When 60 requests without prompts are served in 3 s
    Then the first server received at most <most> requests
    And no other request was refused

    Examples:
      | slowdown | failure                        | most |
      | 2.5      | works                          | 8    |
      | 2.5      | reports that it did not run it | 8    |

  # Guards against an engine's speed that the scheduler isn't told.
  Scenario: The scheduler is told how long work takes at an engine
    Given a "streaming" route with 1 attempts and 1 servers
    And answers of the first server report a slowdown of 2.5
    And the scheduler assigns requests to the first server
    When 2 requests with prompts are served in 0.2 s
    Then it is told of a slowdown of 2.5 that is new, and then of one that isn't
