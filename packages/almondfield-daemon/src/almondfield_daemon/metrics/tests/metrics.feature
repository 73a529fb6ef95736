Feature: The statistics of every part become metrics

  Scenario: Numbers, mappings and collections of a part are metrics
    Given a part "peers" with statistics of every type
    When the metrics are rendered
    Then the samples are
      """
      almondfield_peers_bytes_sent{kind="demand-report"} 12
      almondfield_peers_bytes_sent{kind="slot-grant"} 30
      almondfield_peers_delay_s{host="north-1",kind="slot-grant"} 0.25
      almondfield_peers_links 3
      almondfield_peers_pools 2
      almondfield_peers_queue_waiting 7
      almondfield_peers_ready 1
      almondfield_peers_retries_total 5
      almondfield_peers_sent{kind="slot-grant"} 9
      almondfield_peers_served{team="mares \"2\""} 1.5
      """
    And "almondfield_peers_retries_total" is a counter
    And "almondfield_peers_links" is a gauge

  Scenario: Values that are not finite numbers are omitted
    Given a part "peers" with an infinite number and a text
    When the metrics are rendered
    Then there are no samples

  Scenario: Two parts may use the same name
    Given a part "share" with 2 links
    And a part "peers" with 3 links
    When the metrics are rendered
    Then the samples are
      """
      almondfield_peers_links 3
      almondfield_share_links 2
      """
