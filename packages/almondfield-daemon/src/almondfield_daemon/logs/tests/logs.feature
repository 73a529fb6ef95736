Feature: Logs are lines of JSON, bounded and never waited for

  Scenario: A message is one line
    Given a log to a pipe
    When a message of kind "request:ended" with status 200 is logged
    Then the pipe has 1 line of kind "request:ended" with status 200 and host "h1"

  Scenario: A burst beyond the bound is counted by kind
    Given a log to a pipe that is read
    When 3000 messages of kind "request:ended" are logged in 1.0 s
    And 2.0 s pass
    And a message of kind "daemon:stopped" with status 0 is logged
    Then between 1000 and 1300 lines of kind "request:ended" were written
    And a line tells how many of kind "request:ended" were left out

  Scenario: Steady lines below the bound are all written
    Given a log to a pipe that is read
    When 1000 messages of kind "request:ended" are logged in 10.0 s
    Then between 1000 and 1000 lines of kind "request:ended" were written

  Scenario: A reader that stops holds nobody up
    Given a log to a pipe
    When 900 messages of 4000 bytes are logged
    Then logging never waited
    And at most 512 kilobytes wait in memory

  Scenario: What a library warns of is a line, too
    Given a log to a pipe
    And the messages of libraries are taken
    When library "uvicorn.error" warns "Invalid HTTP request received."
    Then the pipe has 1 line of logger "uvicorn.error" with that message

  Scenario: An answer that the router cuts has no second line
    Given a log to a pipe
    And the messages of libraries are taken
    When library "uvicorn.error" warns "ASGI callable returned without completing response."
    Then the pipe has no line
