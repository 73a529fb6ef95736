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

  Scenario: A stale host refuses and names other addresses
    Given a caller app
    And its tables are stale
    When "k1" sends GET "/stock"
    Then the reply is 503 "not-run" with error "stale-tables"
    And the reply names other addresses and when to come back

  Scenario: A draining host refuses new work and finishes what runs
    Given a caller app
    And it drains while a request runs
    When "k1" sends GET "/stock"
    Then the reply is 200 with body "ok"
    When "k1" sends GET "/stock"
    Then the reply is 503 "not-run" with error "draining"
    And the reply names other addresses and when to come back

  Scenario Outline: A request beyond a limit is refused without being held
    Given a caller app with small limits
    When "k1" sends a request with <what>
    Then the reply is <status> "not-run" with error "<error>"
    And the caller's connection ends
    And no slot was asked for
    And at most 3000 bytes of it were read

    Examples:
      | what                  | status | error             |
      | a declared large body | 413    | body-too-large    |
      | an endless body       | 413    | body-too-large    |
      | large headers         | 431    | headers-too-large |

  Scenario: A team that floods a host's memory leaves room for the next
    Given a caller app with small limits
    And 3 requests of "k1" with bodies of 500 bytes wait
    When "k1" sends a request with a body of 500 bytes
    Then the reply is 503 "not-run" with error "memory"
    And the reply names other addresses and when to come back
    When a request of "k2" with a body of 500 bytes is sent
    And the waiting requests are answered
    Then no body is held

  Scenario Outline: A caller that holds back its body is given up
    Given a caller app
    When "k1" sends a request with <what>
    Then the reply is 408 "not-run" with error "body-timeout"
    And no body is held

    Examples:
      | what                    |
      | half a body             |
      | a byte every 20 seconds |

  Scenario Outline: A caller that goes away frees its slot at once
    Given a caller app
    And the backend server <phase>
    When "k1" sends GET "/stock" and goes away after 5 s
    Then the request ended after 5 s
    And every slot is released

    Examples:
      | phase                   |
      | takes 60 s to answer    |
      | streams with long gaps  |

  Scenario: A caller that takes no bytes frees its slot
    Given a caller app
    When "k1" sends GET "/stock" and takes no bytes
    Then the reply is cut before its first byte
    And every slot is released

  Scenario: The request id passes through
    Given a caller app
    When "k1" sends GET "/stock" with header "x-request-id: r-77"
    Then the backend server was sent header "x-request-id: r-77"
    And the reply has header "x-request-id: r-77"

  Scenario: A backend server can't speak for the router
    Given a caller app
    And the backend server's answer has header "Almondfield-Outcome: not-run"
    When "k1" sends GET "/stock"
    Then the reply has no header "almondfield-outcome"

  Scenario Outline: Malformed input gives a typed error
    Given a caller app
    When "k1" sends <method> "<path>" with header "<header>"
    Then the reply is <status> "not-run" with error "<error>"
    And no slot was asked for

    Examples:
      | method | path      | header              | status | error           |
      | POST   | /stock    | content-length: 1x  | 400    | content-length  |
      | POST   | /stock    | content-length: -1  | 400    | content-length  |
      | BREW   | /stock    | x: y                | 405    | method          |
      | GET    | /a/../b   | x: y                | 400    | path            |
      | POST   | /stock    | idempotency-key: é  | 400    | idempotency-key |
      | GET    | /stock    | authorization: x    | 400    | repeated-header |

  Scenario: An unexpected failure leaves the outcome unknown
    Given a caller app
    And the router fails unexpectedly
    When "k1" sends POST "/stock"
    Then the reply is 500 "unknown" with error "internal"
    And no body is held
    When "k1" sends POST "/stock" with header "idempotency-key: b1"
    Then the reply is 500 "unknown" with error "internal"

  Scenario: Whatever is sent gets a typed error or an answer
    Then drawn requests never fail inside the app

  @sockets
  Scenario Outline: A cut is visible on the wire
    Given a caller app on a free port
    And the backend server's answer of <kind> is cut
    When a caller reads the answer to its end
    Then what it read is not a whole answer

    Examples:
      | kind         |
      | chunks       |
      | known length |

  @sockets
  Scenario: A caller that closes is seen on the wire
    Given a caller app on a free port
    And the backend server streams with long gaps
    When a caller reads the first bytes and closes
    Then the call ends and every slot is released
