Feature: Work of a router's decisions

  # Guards against FAIR: the router of a hot team has no processor time left on a site of many servers.
  Scenario Outline: The choice of a server takes the same work with many servers
    Given a prompt that the scheduler <decision>
    And <others>
    When a server is chosen for it among 20 and among 200 servers
    Then the router makes at most 1.1 times as many calls among 200

    Examples:
      | decision                   | others                             |
      | admits                     | nothing is known of the servers    |
      | refuses for its share      | nothing is known of the servers    |
      | leaves undecided in a rush | nothing is known of the servers    |
      | admits                     | 5 of the other servers leave       |
      | admits                     | 5 of the other servers have failed |
