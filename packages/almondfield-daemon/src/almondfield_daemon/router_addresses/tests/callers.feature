Feature: Callers that keep answers of the directory

  # Guards against one router with 255 connections of one team, and neighbours with 4.
  # Without reports, answers name all routers as before, and show the fault.
  Scenario Outline: The connections of callers who choose alike are spread and settle
    Given 24 routers of <cores> cores that report <what>
    When 255 callers who choose alike and 60 others <names> run for 120 s
    Then the most used router has <first> connections at most in all
    And it has <least> to <most> connections from second 40 on
    And <times> times at most a router was left out, and never after second 60

    Examples:
      | cores         | what    | names      | first | least | most | times |
      | 0.387 to 1.29 | nothing | with names | 315   | 255   | 315  | 0     |
      | 0.387 to 1.29 | load    | with names | 140   | 0     | 100  | 16    |
      | 0.387 to 1.29 | load    | of 1 name  | 140   | 0     | 100  | 16    |
      | 0.516         | load    | with names | 260   | 0     | 100  | 16    |
      | 0.516         | load    | of 1 name  | 260   | 0     | 100  | 16    |

  Scenario Outline: Load follows size, and callers keep their connections
    Given 24 routers of 0.387 to 1.29 cores that report load
    When 0 callers who choose alike and 2400 others <names> run for 30 s
    Then the connections of each size are 0.75 to 1.3 times its part by cores
    And each caller gave up at most <moves> connections a second
    And 0 times at most a router was left out, and never after second 0

    Examples:
      | names      | moves |
      | with names | 0     |
      | of 1 name  | 0.25  |

  Scenario Outline: Small fleets and equal, unloaded routers get the answers of before
    Given <count> routers of <cores> cores that report load
    Then answers with up to <most> connections are the first 64 of a random order

    Examples:
      | count | cores         | most |
      | 10    | 0.387 to 1.29 | 900  |
      | 100   | 0.516         | 60   |

  # Guards, in this order, against routers that are too late to accept connections; a
  # single late iteration; answers without a choice; a return with all load at once;
  # idle connections that keep a router out; absurd reports that attract or end anything.
  Scenario Outline: Overloaded routers are left out, and return gradually
    Given 24 routers of 0.516 cores that report load
    When the first <count> report <load> for <seconds> s, and then <later> for <rest> s
    Then the first one is in <least> to <most> of the answers, which name <named>
    And log lines of the first one are "<lines>"

    Examples:
      | count | load            | seconds | later | rest | least | most | named | lines    |
      | 1     | late            | 5       | usual | 0    | 0     | 0    | 23    | left-out |
      | 1     | late            | 1       | usual | 9    | 1     | 1    | 24    |          |
      | 24    | late            | 5       | usual | 0    | 1     | 1    | 24    |          |
      | 9     | late            | 5       | usual | 0    | 0     | 0    | 18    | left-out |
      | 1     | late            | 5       | usual | 10   | 0.15  | 0.35 | 23-24 | left-out,returned |
      | 1     | late            | 5       | usual | 20   | 0.4   | 0.6  | 23-24 | left-out,returned |
      | 1     | late            | 5       | usual | 320  | 1     | 1    | 24    | left-out,returned |
      | 1     | crowded         | 5       | idle  | 20   | 0     | 0    | 8     | left-out |
      | 1     | crowded         | 5       | idle  | 45   | 0.03  | 0.2  | 8     | left-out,returned |
      | 1     | cores=nan       | 5       | usual | 0    | 1     | 1    | 24    | odd-report |
      | 1     | cores=1e300     | 5       | usual | 0    | 1     | 1    | 8     | odd-report |
      | 1     | connections=-5  | 5       | usual | 0    | 1     | 1    | 24    | odd-report |
      | 1     | loop_delay_s=1e9 | 5      | usual | 0    | 0     | 0    | 23    | odd-report,left-out |
