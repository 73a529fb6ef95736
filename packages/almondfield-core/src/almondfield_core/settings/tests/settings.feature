Feature: Settings are loaded as a whole or refused with all findings

  Scenario: Valid settings are loaded
    When the settings are loaded
    Then the host is "north-1" and listens on "127.0.0.1"

  Scenario Outline: An invalid item is reported with the allowed values
    Given "<old>" is replaced by "<new>"
    When the settings are loaded
    Then a finding at "<place>" says "<problem>" and allows "<allowed>"

    Examples:
      | old                  | new                    | place                       | problem                            | allowed                   |
      | host = 'north-1'     | host = 'nord'          | host                        | 'nord' is not one of the hosts     | north-1, north-2, north-3 |
      | caller_port = 8080   | caller_port = 70000    | hosts[0].caller_port        | is 70000                           | 1 to 65535                |
      | caller_port = 8080   | caller_prt = 8080      | hosts[0].caller_prt         | unknown item                       | did you mean caller_port? |
      | caller_port = 8080   | caller_port = 8081     | hosts[0]                    | uses a port more than once         | three different ports     |
      | '127.0.0.2'          | '127.0.0.1'            | hosts                       | 2 hosts have the address and port '127.0.0.1:8080' | one host each |
      | '127.0.0.2'          | 'localhost'            | hosts[1].address            | 'localhost' is not an IP address   | an IPv4 or IPv6 address   |
      | '127.0.0.2'          | '0.0.0.0'              | hosts[1].address            | '0.0.0.0' is not the address of one host | an address that other hosts can connect to |
      | name = 'north-2'     | name = 'north-1'       | hosts                       | 2 hosts have the name 'north-1'    | one host each             |
      | voter = true         | voter = false          | hosts                       | 0 hosts have voter = true          | 1, 3 or 5                 |
      | data_folder = 'data' | data_folder = ''       | data_folder                 | is empty, but 'north-1' is a voter | a folder on a disk        |
      | heartbeat_s = 0.2    | heartbeat_s = 0        | timing.heartbeat_s          | is 0.0                             | a number above 0          |
      | heartbeat_s = 0.2    | heartbeat_s = 'often'  | timing.heartbeat_s          | is 'often'                         | a number                  |
      | heartbeat_s = 0.2    | heartbeat_s = 1.5      | timing.heartbeat_s          | is 1.5                             | less than silence_s, 1.0  |
      | max_head_bytes = 8192 | max_head_bytes = 0    | answers.max_head_bytes      | is 0                               | a number above 0          |
      | operator_token_file = 'o' | operator_token_file = '' | security.operator_token_file | is empty                     | the name of a file        |
      | sharing_policy = 'fair-share' | sharing_policy = 'fare' | sharing_policy      | is 'fare'                          | fair-share, first-come, per-router |

  Scenario: All findings are reported together
    Given "host = 'north-1'" is replaced by "host = 'nord'"
    And "'127.0.0.2'" is replaced by "'localhost'"
    And "caller_port = 8080" is replaced by "caller_port = 0"
    When the settings are loaded
    Then there are 3 findings

  Scenario: Malformed settings are always reported and never raise an exception
    Then 300 malformed settings each give findings

  Scenario Outline: An invalid secret is reported without showing it
    Given a secret file that <state>
    When the secret is read
    Then the finding says "<problem>" and does not show the secret

    Examples:
      | state             | problem                              |
      | is missing        | cannot be read                       |
      | is empty          | holds 0 characters                   |
      | is short          | holds 7 characters                   |
      | has two words     | holds white space                    |
      | is not ASCII      | holds bytes that are not ASCII       |

  Scenario: A secret is read without the end of its line
    Given a secret file that is valid
    When the secret is read
    Then the secret is "0123456789abcdef"
