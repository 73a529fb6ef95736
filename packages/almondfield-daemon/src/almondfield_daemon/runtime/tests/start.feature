Feature: A daemon that cannot start says why in one line

  Scenario: The data folder is missing
    Given settings of a voter
    And its data folder is missing
    When the daemon starts
    Then it ends with code 2 and one line that names "data_folder"

  Scenario: The data folder was written by another version
    Given settings of a voter
    And its data folder holds a journal of another version
    When the daemon starts
    Then it ends with code 2 and one line that names "written in format"

  Scenario: A port is in use
    Given settings of a voter
    And its caller port is in use
    When the daemon starts
    Then it ends with code 2 and one line that names "cannot listen on"

  Scenario: A token file cannot be read
    Given settings of a voter
    And its operator token file is missing
    When the daemon starts
    Then it ends with code 2 and one line that names "operator.token"

  Scenario: The log file cannot be written
    Given settings of a voter
    And its log file is in a missing folder
    When the daemon starts
    Then it ends with code 2 and one line that names "log_file"

  Scenario: Good settings are checked without a start
    Given settings of a voter
    When the settings are checked
    Then it ends with code 0 and no line
