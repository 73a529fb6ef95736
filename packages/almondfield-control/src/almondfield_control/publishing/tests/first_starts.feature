Feature: A control group forms whichever hosts restart during the first start

  # Guards against a first start that no host may complete: a killed host starts again
  # with settings that don't allow it to form a group, and the others wait for it.
  Scenario Outline: <host> is killed during the first start
    When <host> is killed before each step of the first start in turn, and comes back
    Then each time one group forms within 5 s of its return and accepts a table

    Examples:
      | host |
      | c1   |
      | c2   |
      | c3   |
      | c4   |

  # Guards against the same where each seed restarts, at another step each.
  Scenario: all seeds are killed during the first start
    When all seeds are killed once they have folders, with seeds 1 to 30
    Then each time one group forms within 5 s of its return and accepts a table

  # Guards against hosts that wait for each other and don't say what ends that.
  Scenario Outline: <host> loses its disk during the first start
    When <host> loses its disk before each step of the first start in turn
    Then each time one group forms, or hosts tell that their folders must be emptied

    Examples:
      | host |
      | c1   |
      | c2   |
