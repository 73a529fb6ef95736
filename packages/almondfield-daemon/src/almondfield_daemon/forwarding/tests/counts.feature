Feature: Counts of a router's requests

  # Guards against FAIR: the causes of a flood's refusals were lost with the log's limit.
  Scenario: One line a second has the refusals of each team by cause
    Given the counts of a router, logged once a second
    When team "flood" is refused 300 times for "held-share"
    And team "small" is refused 1 times for "no-server"
    And team "small" gets 2 answers with status 200
    And 2000 bytes of bodies are read
    And 1.5 s pass
    Then 1 line is logged, with 302 requests and 2000 bytes of bodies
    And its first team is "flood" with 300 refusals for "held-share"

  # Guards against FAIR that can't be traced: a team beside larger ones was in no line.
  Scenario: One line has the eight teams with the most requests
    Given the counts of a router, logged once a second
    When teams "1" to "9" are each refused as often as their number says for "late"
    And 1.5 s pass
    Then 1 line is logged, with 45 requests and 0 bytes of bodies
    And it names teams "9" to "2"

  Scenario: A second without requests and connections logs nothing
    Given the counts of a router, logged once a second
    When 3 s pass
    Then 0 lines are logged
