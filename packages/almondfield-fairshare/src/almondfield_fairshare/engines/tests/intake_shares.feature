Feature: Shares of what a late router passes on

  # Guards against memory that grows with each prompt of a router that is never late.
  Scenario: Prompts that have left the window are not kept
    When a router reads and passes on 20 prompts a second of team "a" for 100 s
    Then it keeps at most 42 of them

  Scenario: A team below its share is told from one above it
    When a router reads 10 prompts a second of team "a" and 100 of "b", and passes on 40 of "b", for 2 s
    Then "a" is below its share and "b" is not
