Feature: The router applies only the changed rows of new tables

  Scenario: Incremental updates give the same plans as a new index
    Then plans after 200 random sequences of revisions match those of a new index
