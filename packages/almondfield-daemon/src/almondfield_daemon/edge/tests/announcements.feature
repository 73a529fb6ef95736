Feature: Announcements of backend servers and the addresses of the fleet

  Scenario: An announcement is passed on
    Given a caller app
    When a backend server announces itself
    Then the reply is 202
    And the fleet knows server "s9"

  Scenario Outline: A wrong announcement changes nothing
    Given a caller app
    When a backend server announces itself <how>
    Then the reply is <status> "not-run" with error "<error>"
    And the fleet knows no server

    Examples:
      | how                   | status | error          |
      | without a token       | 401    | backend-token  |
      | with a team's key     | 401    | backend-token  |
      | with 70000 bytes      | 413    | body-too-large |
      | without a name        | 400    | announcement   |
      | with an unknown kind  | 400    | announcement   |
      | with no slots         | 400    | announcement   |
      | with no port          | 400    | announcement   |
      | in half               | 400    | announcement   |

  Scenario: Whatever is announced gets a typed error
    Then drawn announcements never fail inside the app

  Scenario: Callers learn the addresses and how long to keep them
    Given a caller app
    When "" sends GET "/addresses"
    Then the reply names the addresses for 5 s
    And the nearest ones were asked for data centre ""

  Scenario: Callers in another data centre say where they are
    Given a caller app
    When "" sends GET "/addresses?data_centre=dc-2&other=x"
    Then the reply names the addresses for 5 s
    And the nearest ones were asked for data centre "dc-2"
