Feature: Limit on the prompts that routers begin without a decision

  Background:
    Given teams "a", "b" and "c" have 10, 100 and 400 undecided prompts a second

  # Guards against prompts that are refused beside idle engines.
  Scenario: While engines are idle all prompts are begun
    When 0.0 of the engines is in use for 0.1 s
    Then all undecided prompts may be begun

  Scenario: Teams with few undecided prompts have all of them begun
    When 0.8 of the engines is in use for 1 s
    Then 1.0 of the undecided prompts of team "a" may be begun
    And the same number of "b" and "c" may be begun, or all of "b"

  Scenario: Full engines get fewer and fewer of them
    When 0.5 of the engines is in use for 1 s
    And 0.95 of the engines is in use for 2 s
    Then at most 25 undecided prompts a second may be begun

  Scenario: A team that has had its share gets none
    Given team "c" has had its share
    When 0.0 of the engines is in use for 0.1 s
    Then 0.0 of the undecided prompts of team "c" may be begun
    And 1.0 of the undecided prompts of team "b" may be begun
