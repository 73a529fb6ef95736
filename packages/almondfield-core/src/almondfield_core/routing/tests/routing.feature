Feature: Routing tables are checked as a whole and found by domain, path and key

  Scenario Outline: The longest prefix that begins the path wins
    Given routes for "/", "/a/", "/a/b/" and "/other/" of domain "d"
    Then path "<path>" of domain "<domain>" has route "<route>"

    Examples:
      | domain | path    | route   |
      | d      | /       | /       |
      | d      | /a      | /       |
      | d      | /a/     | /a/     |
      | d      | /a/x    | /a/     |
      | d      | /a/b/   | /a/b/   |
      | d      | /a/b/c  | /a/b/   |
      | d      | /a/bc/d | /a/     |
      | e      | /a/     | none    |
      | d      | a/      | none    |

  Scenario: A table without a route for all paths
    Given routes for "/a/" of domain "d"
    Then path "/b/" of domain "d" has route "none"

  Scenario Outline: Each wrong item is a finding with its place
    Given a sound routing table
    When <change>
    Then the findings name "<place>"

    Examples:
      | change                               | place                     |
      | its version is 0                     | version                   |
      | a route has timeout 0                | routes[0].timeout_s       |
      | a route has weights that add up to 0 | routes[0].shares          |
      | a route has a negative weight        | routes[0].shares[0].weight |
      | a route names an unknown pool        | routes[0].shares[0].pool  |
      | a route has no trailing slash        | routes[0].path_prefix     |
      | a route may be sent to no server     | routes[0].max_attempts    |
      | a route stands twice                 | routes[1]                 |
      | two teams share a key                | teams[1].key_hashes[0]    |
      | a team stands twice                  | teams[1].team             |
      | a pool stands twice                  | pools[1].name             |

  Scenario: All findings are reported together
    Given a sound routing table
    When a route has timeout 0
    And a route names an unknown pool
    Then there are 2 findings

  Scenario: A sound table has no findings
    Given a sound routing table
    Then there are 0 findings
