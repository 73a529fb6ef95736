Feature: Messages between hosts are decoded as they were sent

  Scenario: A demand report is the same after encoding and decoding
    Given a demand report with two teams
    When it is encoded and decoded
    Then it equals the one that was sent

  Scenario: A body that is not MessagePack is reported as an error
    When the body "c1ff" is decoded as "demand-report"
    Then the decoding fails with "demand-report"

  Scenario: An unknown kind is reported as an error
    When the body "80" is decoded as "no-such-kind"
    Then the decoding fails with "no-such-kind"
