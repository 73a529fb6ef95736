Feature: The scheduler closes the engines of evacuated data centres

  Background:
    Given control hosts "c1" and "c2", of which "c1" leads, and router "r1"
    And engines "e1" and "e2"

  # Guards against shares and admission for engines that are closed, and against prompts
  # that are read again after each evacuation.
  Scenario: Closed engines count as used, and keep the models of their caches
    Given "r1" requested an engine for prefix "a" 3 times
    And that engine is alone in "west"
    When "west" is evacuated
    And "r1" requests an engine
    And 3.0 s pass
    Then it is assigned to the other engine, and 0.45 of the engines are in use
    When "" is evacuated
    Then prefix "a" goes to the same engine as before

  Scenario: Prompts are refused at once if all engines are evacuated
    When "east" is evacuated
    And "r1" requests an engine
    Then the prompt is refused, to be sent again in 1.0 s
