Feature: Logs are JSON lines, limited in rate and written without blocking

  Scenario: A message is written as one line
    Given a log to a pipe
    When a message of kind "request:ended" with status 200 is logged
    Then the pipe has 1 line of kind "request:ended" with status 200 and host "h1"

  Scenario: Lines of a burst beyond the limit are counted by kind
    Given a log to a pipe that is read
    When 3000 messages of kind "request:ended" are logged in 1.0 s
    And 2.0 s pass
    And a message of kind "daemon:stopped" with status 0 is logged
    Then between 1000 and 1300 lines of kind "request:ended" were written
    And a line reports how many of kind "request:ended" were omitted

  # Guards against FAIR: the counts of a flooded router were omitted in the flood.
  Scenario: A line of counts is written during a burst beyond the limit
    Given a log to a pipe that is read
    When 3000 messages of kind "request:ended" are logged in 1.0 s
    And a message of kind "request:counts" with status 0 is logged
    Then between 1 and 1 lines of kind "request:counts" were written

  Scenario: Lines at a steady rate below the limit are all written
    Given a log to a pipe that is read
    When 1000 messages of kind "request:ended" are logged in 10.0 s
    Then between 1000 and 1000 lines of kind "request:ended" were written

  Scenario: A reader that stops does not block logging
    Given a log to a pipe
    When 900 messages of 4000 bytes are logged
    Then logging never blocked
    And at most 512 kilobytes are pending in memory

  Scenario: An error logged by a library is written as a line
    Given a log to a pipe
    And library messages are captured
    When library "uvicorn.error" logs the error "Invalid HTTP request received."
    Then the pipe has 1 line of logger "uvicorn.error" with that message

  Scenario: An answer that the router aborts is not logged a second time
    Given a log to a pipe
    And library messages are captured
    When library "uvicorn.error" logs the error "ASGI callable returned without completing response."
    Then the pipe has no line
