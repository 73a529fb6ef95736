Feature: Limit on the prompts that a busy scheduler decides on

  Background:
    Given teams "a", "b" and "c" send 20, 100 and 400 prompts a second

  # Guards against FAIR: teams with few prompts had as small a part decided on as others.
  Scenario: Teams with few prompts have all of them decided on
    When 300 decisions a second are made for 1 s, each 0.1 s late
    Then no limit holds for teams "a" and "b"
    And at most 0.5 of the prompts of team "c" are asked for

  Scenario: Decisions in time have no limit
    When 520 decisions a second are made for 1 s, each 0.04 s late
    Then no limit holds for teams "a", "b" and "c"

  # Guards against a limit that stays after its cause.
  Scenario: The limit ends once decisions are in time
    When 300 decisions a second are made for 1 s, each 0.5 s late
    And 300 decisions a second are made for 4 s, each 0.04 s late
    Then no limit holds for teams "a", "b" and "c"

  # Guards against a slow link that leaves a scheduler without prompts.
  Scenario: A quarter of the prompts is asked for, however late decisions are
    When 10 decisions a second are made for 8 s, each 3 s late
    Then at least 130 prompts a second are asked for

  # Guards against a limit that isn't set, as the rates of teams that have just begun are
  # not known yet: a new scheduler was late until its host lost the lead.
  Scenario: A scheduler that is late at once has a limit at once
    When 520 decisions a second are made for 0.25 s, each 0.2 s late
    Then at most 400 prompts a second are asked for
