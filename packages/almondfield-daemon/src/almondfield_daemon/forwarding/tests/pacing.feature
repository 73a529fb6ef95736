Feature: Streams that send too much wait, and share what is left

  Background:
    Given streams with a burst of 1000 bytes, 100 bytes for each event, 500 bytes/s for one and 1000 bytes/s for all

  # Guards against streams that keep a router busy at the speed of the link.
  Scenario: A stream waits beyond its burst only
    When one stream sends 5 times 2 events of 100 bytes together
    Then it has waited 1 s in all

  Scenario: A burst comes back
    When one stream sends 9 times 1 events of 100 bytes together
    And it pauses for 2 s
    And one stream sends 9 times 1 events of 100 bytes together
    Then it has waited 3.2 s in all

  Scenario: Tiny events count as more than their bytes
    When one stream sends 1 times 20 events of 2 bytes together
    Then it has waited 2.004 s in all

  Scenario: Many streams share one rate
    When 10 streams send 3000 bytes each
    Then all of them have ended after 20 s, within 25 %
