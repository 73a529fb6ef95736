Feature: Announcements of backend servers and the addresses of the fleet

  Scenario: An announcement is relayed
    Given a caller app
    When a backend server announces itself
    Then the reply is 202
    And server "s9" is announced to the fleet

  Scenario Outline: An invalid announcement is refused
    Given a caller app
    When a backend server announces itself <variant>
    Then the reply is <status> "not-run" with error "<error>"
    And no server is announced to the fleet

    Examples:
      | variant              | status | error          |
      | without a token      | 401    | backend-token  |
      | with a team's key    | 401    | backend-token  |
      | with 70000 bytes     | 413    | body-too-large |
      | without a name       | 400    | announcement   |
      | with an unknown kind | 400    | announcement   |
      | with no slots        | 400    | announcement   |
      | with no port         | 400    | announcement   |
      | with a large number  | 400    | announcement   |
      | nested deeply        | 400    | announcement   |
      | truncated            | 400    | announcement   |

  Scenario: Any invalid announcement gets a typed error
    Then generated announcements never fail inside the app

  Scenario: Callers get the addresses and how long to cache them
    Given a caller app
    When "" sends GET "/addresses"
    Then the reply has the addresses and a lifetime of 5 s
    And the addresses nearest to data centre "" were requested

  Scenario: Callers in another data centre send its name
    Given a caller app
    When "" sends GET "/addresses?data_centre=dc-2&other=x"
    Then the reply has the addresses and a lifetime of 5 s
    And the addresses nearest to data centre "dc-2" were requested
