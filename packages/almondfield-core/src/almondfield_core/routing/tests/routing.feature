Feature: Routing tables are checked as a whole, and routes are found by domain and path

  Scenario Outline: The route with the longest matching prefix is chosen
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

  Scenario Outline: Each invalid item is reported as a finding with its place
    Given a valid routing table
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
      | a route has 0 attempts               | routes[0].max_attempts    |
      | a route is repeated                  | routes[1]                 |
      | two teams share a key                | teams[1].key_hashes[0]    |
      | a team is repeated                   | teams[1].team             |
      | a team's name has a line end         | teams[0].team             |
      | a team's name is beyond Latin-1      | teams[0].team             |
      | a pool is repeated                   | pools[1].name             |

  Scenario: All findings are reported together
    Given a valid routing table
    When a route has timeout 0
    And a route names an unknown pool
    Then there are 2 findings

  Scenario: A valid table has no findings
    Given a valid routing table
    Then there are 0 findings
