Feature: The newest statement says whether a server is cold

  # Guards against a cold time that an older or unusable statement ends, or that nothing starts.
  Scenario Outline: Statements of a server of a pool that is cold for 8 s after a start
    When a control host hears <events>
    Then the server stays cold for <seconds> s

    Examples:
      | events                                          | seconds |
      | start                                           | 8       |
      | start 3                                         | 3       |
      | start, wait 1, announce 0                       | 0       |
      | start 3, wait 1, invalid                        | 2       |
      | invalid                                         | 0       |
      | announce 0                                      | 0       |
      | announce 0, announce 5, announce 4 age 2        | 5       |
      | announce 0, announce 5, restart                 | 8       |
      | announce 0, wait 5, announce 0                  | 8       |
      | announce 0, wait 5, announce 0, wait 1, announce 0 | 0    |
      | announce 0, wait 5, announce 0, wait 1, answer 0   | 7    |
      | announce 0, wait 1, answer 5                    | 5       |
      | announce 5, wait 1, answer 0                    | 0       |
      | announce 5, wait 1, answer 0 age 2              | 4       |
      | announce 5, wait 1, announce -1                 | 4       |
      | announce 0, wait 1, evacuated                   | 8       |
      | announce 0, wait 1, evacuated, answer 0         | 8       |
      | announce 0, wait 1, evacuated, announce 0 age 1 | 8       |
      | announce 0, wait 1, evacuated, wait 1, announce 0 | 0     |
