Feature: Callers' requests

  Scenario: A request goes to the pool of the longest matching route
    Given a caller app
    When "k1" sends POST "/write/x?a=1"
    Then the reply is 200 with body "ok"
    And a slot of pool "writing" was requested for team "breeders"
    And the backend server was sent "/write/x?a=1" without the team's key
    And every slot is released

  Scenario Outline: A request without a known team key is refused
    Given a caller app
    When "<key>" sends GET "/stock"
    Then the reply is 401 "not-run" with error "<error>"
    And no slot was requested

    Examples:
      | key   | error            |
      |       | no-team-key      |
      | wrong | unknown-team-key |

  Scenario: A path without a route is not found
    Given a caller app
    When "k2" sends GET "/elsewhere"
    Then the reply is 404 "not-run" with error "no-route"
    And no slot was requested

  Scenario: A truncated answer is never marked as complete
    Given a caller app
    And the backend server's answer is truncated after "half"
    When "k1" sends GET "/stock"
    Then the reply is truncated after "half"
    And every slot is released

  Scenario: A host with stale tables refuses requests and returns other addresses
    Given a caller app
    And its tables are stale
    When "k1" sends GET "/stock"
    Then the reply is 503 "not-run" with error "stale-tables"
    And the reply has other addresses and a retry time

  Scenario: A draining host refuses new requests and finishes running ones
    Given a caller app
    And it drains while a request runs
    When "k1" sends GET "/stock"
    Then the reply is 200 with body "ok"
    When "k1" sends GET "/stock"
    Then the reply is 503 "not-run" with error "draining"
    And the reply has other addresses and a retry time

  Scenario Outline: A request that exceeds a limit is refused before its whole body is read
    Given a caller app with small limits
    When "k1" sends a request with <variant>
    Then the reply is <status> "not-run" with error "<error>"
    And the reply closes the caller's connection
    And no slot was requested
    And at most 3000 bytes of the request were read

    Examples:
      | variant               | status | error             |
      | a declared large body | 413    | body-too-large    |
      | an endless body       | 413    | body-too-large    |
      | large headers         | 431    | headers-too-large |

  Scenario: A team whose waiting bodies fill its memory share does not block other teams
    Given a caller app with small limits
    And 3 requests of "k1" with bodies of 500 bytes wait
    When "k1" sends a request with a body of 500 bytes
    Then the reply is 503 "not-run" with error "memory"
    And the reply has other addresses and a retry time
    When a request of "k2" with a body of 500 bytes is sent
    And the waiting requests are answered
    Then no body is held

  Scenario Outline: A request whose body arrives too slowly times out
    Given a caller app
    When "k1" sends a request with <variant>
    Then the reply is 408 "not-run" with error "body-timeout"
    And no body is held

    Examples:
      | variant                 |
      | half a body             |
      | a byte every 20 seconds |

  Scenario Outline: The slot of a caller that disconnects is released at once
    Given a caller app
    And the backend server <phase>
    When "k1" sends GET "/stock" and disconnects after 5 s
    Then the request ended after 5 s
    And every slot is released

    Examples:
      | phase                  |
      | takes 60 s to answer   |
      | streams with long gaps |

  Scenario: The slot of a caller that reads no bytes is released
    Given a caller app
    When "k1" sends GET "/stock" and reads no bytes
    Then the reply is truncated before its first byte
    And every slot is released

  Scenario: The request id is passed to the backend server and the caller
    Given a caller app
    When "k1" sends GET "/stock" with header "x-request-id: r-77"
    Then the backend server was sent header "x-request-id: r-77"
    And the reply has header "x-request-id: r-77"

  Scenario: The router's own headers are dropped from backend answers
    Given a caller app
    And the backend server's answer has header "Almondfield-Outcome: not-run"
    When "k1" sends GET "/stock"
    Then the reply has no header "almondfield-outcome"

  Scenario Outline: Malformed input gives a typed error
    Given a caller app
    When "k1" sends <method> "<path>" with header "<header>"
    Then the reply is <status> "not-run" with error "<error>"
    And no slot was requested

    Examples:
      | method | path    | header             | status | error           |
      | POST   | /stock  | content-length: 1x | 400    | content-length  |
      | POST   | /stock  | content-length: -1 | 400    | content-length  |
      | BREW   | /stock  | x: y               | 405    | method          |
      | GET    | /a/../b | x: y               | 400    | path            |
      | POST   | /stock  | idempotency-key: é | 400    | idempotency-key |
      | GET    | /stock  | authorization: x   | 400    | repeated-header |

  Scenario: An unexpected failure leaves the outcome unknown
    Given a caller app
    And the router fails unexpectedly
    When "k1" sends POST "/stock"
    Then the reply is 500 "unknown" with error "internal"
    And no body is held
    When "k1" sends POST "/stock" with header "idempotency-key: b1"
    Then the reply is 500 "unknown" with error "internal"

  Scenario: Any malformed request gets a typed error
    Then generated requests never fail inside the app

  @sockets
  Scenario Outline: A truncated answer is visible on the wire
    Given a caller app on a free port
    And the backend server's answer of <kind> is truncated
    When a caller reads the answer to its end
    Then the answer read is incomplete

    Examples:
      | kind         |
      | chunks       |
      | known length |

  @sockets
  Scenario: A closed caller connection is detected on the wire
    Given a caller app on a free port
    And the backend server streams with long gaps
    When a caller reads the first bytes and closes
    Then the call ends and every slot is released
