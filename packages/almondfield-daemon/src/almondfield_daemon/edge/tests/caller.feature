Feature: Callers' requests

  Scenario: A request reaches the pool of its longest route
    Given a caller app
    When "k1" sends POST "/write/x?a=1"
    Then the reply is 200 with body "ok"
    And pool "writing" was asked for team "breeders"
    And the backend server was sent "/write/x?a=1" without the team's key
    And every slot is released

  Scenario Outline: A request without a known team key reaches no queue
    Given a caller app
    When "<key>" sends GET "/stock"
    Then the reply is 401 "not-run" with error "<error>"
    And no slot was asked for

    Examples:
      | key   | error            |
      |       | no-team-key      |
      | wrong | unknown-team-key |

  Scenario: A path without a route is not found
    Given a caller app
    When "k2" sends GET "/elsewhere"
    Then the reply is 404 "not-run" with error "no-route"
    And no slot was asked for

  Scenario: A cut answer never ends cleanly
    Given a caller app
    And the backend server's answer is cut after "half"
    When "k1" sends GET "/stock"
    Then the reply is cut after "half"
    And every slot is released
