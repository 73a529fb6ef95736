Feature: Only a status that HTTP knows begins an answer

  # Guards against MIXED: a status below 100 or above 599 that is taken for an interim
  # response, whose caller then waits for its whole deadline, or for the answer's own.
  Scenario Outline: An answer of status <status> with <body> fails at once
    Given a server that answers status <status> with <body> and stays silent
    When a POST is sent
    Then the call fails before its timeout, and the server may have run it

    Examples:
      | status | body      |
      | 000    | no body   |
      | 000    | a length  |
      | 000    | chunks    |
      | 001    | a length  |
      | 020    | chunks    |
      | 099    | no body   |
      | 099    | a length  |
      | 600    | no body   |
      | 600    | a length  |
      | 999    | chunks    |
      | 101    | no body   |
      | 101    | a length  |
      | 1      | a length  |
      | 99     | a length  |
      | 2000   | a length  |
      | -20    | a length  |
      | 2OO    | a length  |

  # Guards against MIXED: the body of an interim response was put before the answer's.
  Scenario Outline: A body behind an interim response <status> is no part of the answer
    Given a server that sends <status> with <body> before "hello"
    When a POST is sent
    Then the call fails before its timeout, and the server may have run it

    Examples:
      | status | body     |
      | 000    | a length |
      | 099    | chunks   |
      | 100    | a length |
      | 102    | chunks   |
      | 103    | a length |
      | 104    | a length |
      | 199    | a length |
      | 199    | chunks   |

  Scenario Outline: An interim response <status> without a body is skipped
    Given a server that sends <status> with no body before "hello"
    When a POST is sent
    Then the result is complete "hello"

    Examples:
      | status |
      | 100    |
      | 102    |
      | 103    |
      | 104    |
      | 199    |

  # Guards against a server that holds a request with interim responses without end.
  Scenario: Interim responses do not extend the time to an answer
    Given a server that sends interim responses without end
    When a POST is sent
    Then the call fails by its timeout, and the server may have run it

  # Guards against MIXED: the request after a rejected answer gets its rest.
  Scenario Outline: A connection with an answer of status <status> carries no further request
    Given a server that answers status <status> with a length and stays silent
    When 2 pooled requests are sent one after the other
    Then the server accepted 2 connections

    Examples:
      | status |
      | 000    |
      | 600    |
