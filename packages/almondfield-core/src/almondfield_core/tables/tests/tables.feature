Feature: Tables are loaded as a whole or refused with all findings
  Operators edit two tables by hand. Every mistake is reported with its place.

  Scenario: Valid tables are read, written and read again
    Given a tables file with two pools and three routes
    When the tables are loaded
    Then there are no findings
    And writing and reading them again gives the same tables

  Scenario: All findings of a file are reported together
    Given a tables file with
      """
      [[pools]]
      name = "writing"
      kind = "modal"
      timouts = {}

      [[pools]]
      name = 4
      typical_cost = nan
      """
    When the tables are loaded
    Then the findings are
      | place              | problem      | allowed               |
      | pools[0].kind      | is 'modal'   | model, service        |
      | pools[0].timouts   | unknown item | did you mean timeouts? |
      | pools[1].name      | is 4         | text                  |
      | pools[1].typical_cost | is nan    | a finite number       |

  Scenario: Conflicting rows are reported with both rows
    Given a tables file with
      """
      [[pools]]
      name = "writing"
      typical_cost = -1

      [[pools]]
      name = "writing"

      [[routes]]
      team = "foals"
      path_prefix = "v1"
      pool = "writen"
      weight = 0

      [[routes]]
      team = "mares"
      path_prefix = "/v1"
      pool = "writing"
      key_hashes = ["2D711642"]
      idempotent_methods = ["GET", "put"]

      [[routes]]
      team = "mares"
      path_prefix = "/v1"
      pool = "writing"
      weight = 2.0
      """
    When the tables are loaded
    Then the findings are
      | place                   | problem                                        | allowed |
      | pools[0].typical_cost   | is -1.0                                        | above 0, at most 86400 s |
      | pools[1].name           | 'writing' is also the name of pools[0]         | a unique name |
      | routes[0].pool          | no pool 'writen'                               | the name of a row of pools |
      | routes[0].path_prefix   | is 'v1'                                        | / and then up to 1023 printable characters |
      | routes[0].weight        | is 0.0                                         | 0.001 to 1000000 |
      | routes[1].key_hashes[0] | is '2D711642'                                  | a SHA-256 of 64 lower-case hexadecimal digits |
      | routes[1].idempotent_methods[1] | is 'put'                               | an HTTP method in capitals |
      | routes[2]               | team 'mares' has '/v1' in routes[1] already    | one route per team and prefix |
      | routes[2].weight        | is 2.0, but team 'mares' has weight 1.0 in pool 'writing' by routes[1] | one weight per team and pool |

  Scenario: A key belongs to one team only
    Given a tables file in which two teams have the same key
    When the tables are loaded
    Then the only finding is at "routes[1].key_hashes"

  Scenario: The difference lists removed, altered and added rows
    Given a tables file with two pools and three routes
    When the tables are loaded
    And one pool is removed, one route altered and one added
    Then the difference is
      """
      - pool "spare"
      ~ route "mares" /v1: weight 1.0 -> 2.5
      + route "colts" /: team = "colts", path_prefix = "/", pool = "writing"
      """

  Scenario: A file that is not TOML is reported as one finding
    Given a tables file with
      """
      [[pools]
      """
    When the tables are loaded
    Then the only finding says "is not TOML"

  Scenario: Malformed tables are always reported and never raise an exception
    Then 300 malformed tables each give findings
