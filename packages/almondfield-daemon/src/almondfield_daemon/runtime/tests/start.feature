Feature: A daemon that cannot start reports the reason in one error line

  Scenario: The data folder is missing
    Given settings of a voter
    And its data folder is missing
    When the daemon starts
    Then it exits with code 2 and one error line that contains "data_folder"

  Scenario: The data folder was written by another version
    Given settings of a voter
    And its data folder holds a journal of another version
    When the daemon starts
    Then it exits with code 2 and one error line that contains "written in format"

  Scenario: A port is in use
    Given settings of a voter
    And its caller port is in use
    When the daemon starts
    Then it exits with code 2 and one error line that contains "cannot listen on"

  Scenario: A token file cannot be read
    Given settings of a voter
    And its operator token file is missing
    When the daemon starts
    Then it exits with code 2 and one error line that contains "operator.token"

  Scenario: The log file cannot be written
    Given settings of a voter
    And its log file is in a missing folder
    When the daemon starts
    Then it exits with code 2 and one error line that contains "log_file"

  Scenario: Valid settings are checked without starting the daemon
    Given settings of a voter
    When the settings are checked
    Then it exits with code 0 and no error line
