Feature: Promises hold under random faults

  No slot is used twice, idle slots find waiting work, every request is answered,
  no team starves and the gap stays in its bound, whatever is lost, repeated,
  reordered, cut off, restarted or leaves.

  Scenario: Random schedules
    When 1000 random schedules are run
    Then none broke a promise
