Feature: Servers that say what they want get no other work

  Scenario: A server without notices takes work
    Given servers "s1" and "s2"
    Then "s1" takes work

  # Guards against requests that reach a server after it has said that it leaves.
  Scenario: A server that leaves gets no further work
    Given servers "s1" and "s2"
    When "s1" answers that it leaves
    And 3600 s pass
    Then "s1" takes no work
    And "s2" takes work

  Scenario: An answer without the notice doesn't bring a leaving server back
    Given servers "s1" and "s2"
    When "s1" answers that it leaves
    And "s1" answers
    And "s1" refuses with a retry time of 1 s
    And 2 s pass
    Then "s1" takes no work

  # Guards against a new server that is avoided for what the one before it said.
  Scenario: A restarted server takes work
    Given servers "s1" and "s2"
    When "s1" answers that it leaves
    And "s1" restarts
    Then "s1" takes work

  # Guards against requests that a server has to refuse again before its retry time ends.
  Scenario Outline: A server gets nothing before its retry time ends
    Given servers "s1" and "s2"
    When "s1" refuses with a retry time of <seconds> s
    And <before> s pass
    Then "s1" takes no work
    When 0.01 s pass
    Then "s1" takes work

    Examples:
      | seconds | before |
      | 4       | 3.995  |
      | 0.25    | 0.245  |
      | 3600    | 3599.995 |

  # Guards against a burst that a server has to refuse right after its retry time.
  Scenario: A server gets one request after its retry time, and more once it answers
    Given servers "s1" and "s2"
    When "s1" refuses with a retry time of 1 s
    And 1 s pass
    And a request is selected for "s1"
    Then "s1" takes no work
    And the selected request may be sent
    When "s1" answers
    Then "s1" takes work
    When a request is selected for "s1"
    Then "s1" takes work

  Scenario Outline: A first request that <ends> is followed by another
    Given servers "s1" and "s2"
    When "s1" refuses with a retry time of 1 s
    And 1 s pass
    And a request is selected for "s1"
    And the selected request <ends>
    Then "s1" takes work
    When a request is selected for "s1"
    Then "s1" takes no work

    Examples:
      | ends                            |
      | ends without an answer          |
      | is refused without a retry time |

  Scenario: A first request that is refused closes the server again
    Given servers "s1" and "s2"
    When "s1" refuses with a retry time of 1 s
    And 1 s pass
    And a request is selected for "s1"
    And "s1" refuses with a retry time of 2 s
    And the selected request ends without an answer
    And 1.9 s pass
    Then "s1" takes no work

  # Guards against answers to earlier requests that end a closure.
  Scenario: Answers on their way don't shorten a retry time
    Given servers "s1" and "s2"
    When "s1" refuses with a retry time of 4 s
    And "s1" answers
    And "s1" refuses with a retry time of 1 s
    And 3.9 s pass
    Then "s1" takes no work

  Scenario: A later refusal extends the retry time
    Given servers "s1" and "s2"
    When "s1" refuses with a retry time of 2 s
    And "s1" refuses with a retry time of 4 s
    And 3.9 s pass
    Then "s1" takes no work

  # Guards against a late router that leaves a server unused for longer than it asked.
  Scenario: The retry time counts from the arrival of the answer
    Given servers "s1" and "s2"
    When "s1" refuses with a retry time of 3 s, which is handled 2 s later
    And 1 s pass
    Then "s1" takes work

  # Guards against a process that was suspended and acts on an earlier selection.
  Scenario: A request that was selected before a refusal is not sent after it
    Given servers "s1" and "s2"
    When a request is selected for "s1"
    And "s1" refuses with a retry time of 2 s
    Then the selected request may not be sent

  # Guards against a server that is taken out of use by a value that means nothing.
  Scenario Outline: A retry time of <text> changes nothing and is logged once
    Given servers "s1" and "s2"
    When "s1" refuses with a retry time of <text>, twice
    Then "s1" takes work
    And 1 line says that the retry time "<logged>" was ignored

    Examples:
      | text        | logged |
      | "soon"      | soon   |
      | 3601 s      | 3601   |

  # Guards against BUDGET: a server that has started again asks for time before its start
  # is announced, and gets requests as soon as it is.
  Scenario: A retry time holds when another start of the server becomes known
    Given servers "s1" and "s2"
    When "s1" refuses with a retry time of 3 s
    And "s1" restarts
    And 2.9 s pass
    Then "s1" takes no work
    When 0.1 s pass
    And a request is selected for "s1"
    Then "s1" takes no work
    When "s1" restarts
    And "s1" answers
    Then "s1" takes work

  # Guards against BUDGET: a server that is missing from the list for a moment gets
  # requests as it is back.
  Scenario: A retry time holds when the server is gone for a while
    Given servers "s1" and "s2"
    When "s1" refuses with a retry time of 3 s
    And only "s2" is known
    And 2.9 s pass
    Then "s1" takes no work
    When 0.1 s pass
    And only "s2" is known
    Then "s1" takes work

  Scenario: A notice of leaving doesn't outlast the start that gave it, a retry time does
    Given servers "s1" and "s2"
    When "s1" refuses with a retry time of 3 s
    And "s1" answers that it leaves
    And "s1" restarts
    Then "s1" takes no work
    When 3 s pass
    Then "s1" takes work

  Scenario: The shortest wait of several servers
    Given servers "s1" and "s2"
    When "s1" refuses with a retry time of 4 s
    And "s2" refuses with a retry time of 2.5 s
    And 0.5 s pass
    Then work is taken in 2 s
    When "s2" answers that it leaves
    Then work is taken in 3.5 s
    When "s1" answers that it leaves
    Then work is never taken

  Scenario: Servers that are gone are dropped
    Given servers "s1" and "s2"
    When "s1" answers that it leaves
    And only "s2" is known
    And only "s1" is known
    Then "s1" takes work
