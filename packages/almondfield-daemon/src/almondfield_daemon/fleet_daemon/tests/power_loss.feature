Feature: Acknowledged configurations outlast a power loss of all hosts with lost disks

  # Guards against LOST: a voter whose log lacks its own promotion refuses its vote, so
  # that no leader comes back after a power loss.
  Scenario Outline: <hosts> control hosts lose power and <disks> disks after the first acknowledgement
    When <hosts> control hosts lose power and <disks> disks after the first acknowledgement, with seeds 21 to 32
    Then each fleet returned what it acknowledged and served again

    Examples:
      | hosts | disks |
      | 3     | 1     |
      | 5     | 1     |
      | 5     | 2     |
      | 9     | 2     |

  # Guards against CONFIG and LOST: an acknowledged version is gone or older after all
  # hosts lose power right after the acknowledgement, some of them with their disks.
  Scenario Outline: <hosts> control hosts lose power and <disks> disks after an acknowledgement
    When <hosts> control hosts lose power and <disks> disks after an acknowledgement, with seeds 1 to 5
    Then each fleet returned what it acknowledged and served again

    Examples:
      | hosts | disks |
      | 3     | 1     |
      | 5     | 1     |
      | 5     | 2     |
      | 9     | 2     |

  # Guards against LOST: a version is gone where the power fails as a host joins the group.
  Scenario Outline: <hosts> control hosts lose power and <disks> disks while a host joins
    When <hosts> control hosts lose power and <disks> disks while a host joins, with seeds 1 to 5
    Then each fleet returned what it acknowledged and served again

    Examples:
      | hosts | disks |
      | 3     | 1     |
      | 5     | 2     |
      | 9     | 2     |

  # Guards against LOST: a version is gone where the power fails as a voter is replaced.
  Scenario Outline: <hosts> control hosts lose power and <disks> disks while a host is replaced
    When <hosts> control hosts lose power and <disks> disks while a host is replaced, with seeds 1 to 5
    Then each fleet returned what it acknowledged and served again

    Examples:
      | hosts | disks |
      | 3     | 1     |
      | 5     | 2     |
      | 9     | 2     |

  # Guards against LOST: a version is gone where the power fails in an election.
  Scenario Outline: <hosts> control hosts lose power and <disks> disks during an election
    When <hosts> control hosts lose power and <disks> disks during an election, with seeds 1 to 5
    Then each fleet returned what it acknowledged and served again

    Examples:
      | hosts | disks |
      | 3     | 1     |
      | 5     | 2     |
      | 9     | 2     |

  # Guards against LOST: a version is gone where the power fails as voters write snapshots.
  Scenario Outline: <hosts> control hosts lose power and <disks> disks while a snapshot is written
    When <hosts> control hosts lose power and <disks> disks while a snapshot is written, with seeds 1 to 5
    Then each fleet returned what it acknowledged and served again

    Examples:
      | hosts | disks |
      | 3     | 1     |
      | 5     | 2     |
      | 9     | 2     |

  # Guards against a host that never votes: the entry that added it was lost, but is in
  # its own log, so that it waited for a leader that doesn't know it.
  Scenario Outline: <hosts> control hosts lose power and <disks> disks while a host that joins installs a snapshot
    When <hosts> control hosts lose power and <disks> disks while a host that joins installs a snapshot, with seeds <first> to <last>
    Then each fleet returned what it acknowledged and served again

    Examples:
      | hosts | disks | first | last |
      | 3     | 1     | 9     | 20   |
      | 5     | 1     | 9     | 17   |
      | 5     | 2     | 1     | 5    |
      | 9     | 2     | 15    | 18   |

  # Guards against LOST: a second power loss takes the same disks before their hosts vote again.
  Scenario Outline: <hosts> control hosts lose power and <disks> disks while the group recovers
    When <hosts> control hosts lose power and <disks> disks while the group recovers, with seeds 1 to 5
    Then each fleet returned what it acknowledged and served again

    Examples:
      | hosts | disks |
      | 3     | 1     |
      | 5     | 2     |
      | 9     | 2     |
