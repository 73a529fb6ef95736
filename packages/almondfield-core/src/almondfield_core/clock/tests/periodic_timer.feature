Feature: The parts of a host work on shared beats

  Scenario: Parts that start to wait at different times wake on the same beats
    Given beats of host "a" every 0.3 s
    When parts wait from 1.00 s, 1.05 s and 1.10 s on
    Then they wake whole intervals apart

  Scenario: A beat comes soon, but never just after the one before
    Given beats of host "a" every 0.3 s
    Then after any time the next beat is 0.003 s to 0.303 s later
    And after any beat the next one is 0.3 s later

  Scenario: Beats of half and double an interval fall together
    Given beats of host "a" every 0.3 s
    Then each is a beat every 0.15 s, too
    And each second one is a beat every 0.6 s

  Scenario: Hosts do not work in step
    Given beats of host "a" every 0.3 s
    Then the beats of host "b" lie between them
