Feature: The scheduler closes the engines of evacuated data centres

  Background:
    Given control hosts "c1" and "c2", of which "c1" leads, and router "r1"
    And engines "e1" and "e2"
    And engine "e1" is in "west"

  Scenario: Prompts go to the engines that are left, or are refused
    Given "west" is evacuated
    When "r1" requests 40 engines at once
    Then some requests were admitted and some refused
    And no request was assigned to "e1"

  # Guards against shares and admission for more engines than are left.
  Scenario: Engines of an evacuated data centre count as used
    Given "west" is evacuated
    When "r1" requests an engine
    And 3.0 s pass
    Then at least 0.45 of the engines are in use

  Scenario: Prompts are refused at once if all engines are evacuated
    Given all data centres are evacuated
    When "r1" requests an engine
    Then the prompt is refused, to be sent again in 1.0 s
    When the evacuations end
    Then "r1" is assigned an engine again

  # Guards against prompts that are read again after each evacuation.
  Scenario: The model of an engine's cache outlasts an evacuation
    Given "r1" requested an engine for prefix "a" 3 times
    When the data centre of that engine is evacuated for 2.0 s
    Then prefix "a" goes to the same engine as before

  Scenario: An engine that joins during an evacuation is closed
    Given "west" is evacuated
    When "r1" requests an engine
    And engine "e3" joins in "west"
    And "r1" requests 40 engines at once
    Then no request was assigned to "e3"
