Feature: Guarantees hold under random faults

  No slot is used twice, idle slots take waiting work, every request is answered,
  no team starves and the service gap stays within its bound. Meanwhile messages are
  lost, repeated and reordered, hosts are cut off and restarted, and servers leave.

  Scenario: Random schedules
    When 1000 random schedules are run
    Then no schedule violated a guarantee
