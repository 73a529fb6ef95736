Feature: A server's silence ends an answer only where another server takes it over

  # Guards against logs in which a silent server can't be told from one that broke off.
  Scenario Outline: The log tells whether the router or the server ended an attempt
    Given a "idempotent" route with 2 attempts and 3 servers
    And the first server <failure>
    When a request is served and logged
    Then the line of the failed attempt says that the server was <what>
    And the line of the request has <count> silent attempts

    Examples:
      | failure          | what       | count |
      | never answers    | silent     | 1     |
      | loses its answer | not silent | 0     |
