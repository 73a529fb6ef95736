Feature: A control group outlasts hosts that are lost and replaced one after another

  # Guards against states of the group that nothing leads out of: members that are never
  # admitted, removed or caught up, until a further loss leaves no quorum.
  Scenario Outline: hosts are lost one at a time, seeds <first> to <last>
    When control hosts are replaced, wiped, killed and cut off with seeds <first> to <last>
    Then each time a host that is back votes and holds the newest version in 4 s
    And no more than 2.0 s pass without a commit
    And there is at most 1 voter more than hosts that run
    And every acknowledged version is read back
    And memberships that follow each other differ by one voter at most

    Examples:
      | first | last |
      | 1     | 30   |

  # Guards against the same where restarts and cuts that cost no disk come beside a loss.
  Scenario Outline: losses beside restarts and cuts, seeds <first> to <last>
    When hosts are lost beside restarts and cuts of others with seeds <first> to <last>
    Then each time a host that is back votes and holds the newest version in 4 s
    And every acknowledged version is read back
    And memberships that follow each other differ by one voter at most

    Examples:
      | first | last |
      | 1     | 20   |

  # Guards against the same where the first start is interrupted, and where several hosts are lost
  # at once or successors start before their hosts are lost.
  Scenario Outline: an interrupted first start, then up to <losses> losses at once
    When hosts are lost after an interrupted first start, <losses> at once at most, beside entries of up to 2 MB, with seeds <first> to <last>
    Then each time a host that is back votes and holds the newest version in 4 s
    And no more than 2.0 s pass without a commit
    And there is at most <losses> voter more than hosts that run
    And every acknowledged version is read back
    And memberships that follow each other differ by one voter at most

    Examples:
      | losses | first | last |
      | 1      | 1     | 12   |
      | 2      | 1     | 12   |
