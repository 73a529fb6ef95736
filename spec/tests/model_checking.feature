Feature: The core protocol holds in every reachable state within the bounds

  Scenario: every quick specification holds
    When every quick specification that must hold is searched
    Then each search ends and finds no violation

  Scenario: every quick broken variant is found
    When every quick broken variant is searched
    Then each search finds a counterexample
