Feature: Backend servers are ordered to load the models that the pools want

  Background:
    Given hosts "h0", "h1" and "h2", led by "h0"

  Scenario: A pool gets its wanted servers from those that belong to no pool
    Given engines 1 to 4 without a model
    When pool "writing" wants 2 servers and pool "board" wants 1
    And 120.0 s pass
    Then 2 engines have model "writing", 1 has "board" and 1 none
    And 3 orders were accepted, each by a different engine

  Scenario: Two pools that want the same spare server do not both get it
    Given engines 1 to 1 without a model
    When pool "writing" wants 1 servers and pool "board" wants 1
    And 120.0 s pass
    Then 1 orders were accepted, each by a different engine

  Scenario: A server is held and idle before it receives its order
    Given engines 1 to 2 with model "writing"
    And engines 1 and 2 run 3 requests each until 8.0 s after a hold begins
    When pool "writing" wants 1 servers and pool "board" wants 1
    And 120.0 s pass
    Then every order reached an idle engine
    And no engine is held

  Scenario: Loads are spaced to protect the weight store
    Given engines 1 to 4 without a model
    When pool "writing" wants 4 servers and pool "board" wants 0
    And 120.0 s pass
    Then any two loads started at least 5.0 s apart

  Scenario: An order whose answer is lost is resent and carried out once
    Given engines 1 to 1 without a model
    And the first 2 answers of engine 1 are lost
    When pool "writing" wants 1 servers and pool "board" wants 0
    And 120.0 s pass
    Then engine 1 accepted 3 orders with one fencing number and loaded once

  Scenario: A partitioned issuer is replaced, and its late order is refused
    Given engines 1 to 1 without a model
    And pool "writing" wants 1 servers and pool "board" wants 0
    When the orders of "h0" are delayed by 60.0 s
    And 25.0 s pass
    And "h0" is partitioned and "h1" leads
    And 200.0 s pass
    Then engine 1 carried out one order and refused the late one

  Scenario: A new issuer waits for the old lease if a server does not check fencing
    Given engines 1 to 1 without a model that ignore fencing
    And pool "writing" wants 1 servers and pool "board" wants 0
    When the orders of "h0" are lost
    And 25.0 s pass
    And "h0" is partitioned with 30.0 s of its lease left and "h1" leads
    And 100.0 s pass
    Then no order of "h1" arrived in the first 32.0 s of its leadership

  Scenario: A new leader continues the plan of the previous one
    Given engines 1 to 3 without a model
    And pool "writing" wants 3 servers and pool "board" wants 0
    When 25.0 s pass
    And "h0" is partitioned and "h1" leads
    And 150.0 s pass
    Then 3 engines have model "writing", 0 has "board" and 0 none
    And every engine loaded once

  Scenario: A spare server moves to the pool with a lasting backlog, and back
    Given engines 1 to 3 with model "writing"
    And pool "writing" wants 1 servers and pool "board" wants 1
    And 120.0 s pass
    When pool "board" is backlogged for 120.0 s
    Then 1 engines have model "writing", 2 has "board" and 0 none
    When pool "writing" is backlogged for 120.0 s
    Then 2 engines have model "writing", 1 has "board" and 0 none

  Scenario: A pool that needs its slots gives up no server
    Given engines 1 to 3 with model "writing"
    And pool "writing" wants 1 servers and pool "board" wants 1
    And 120.0 s pass
    And every engine of "writing" runs 3 requests
    When pool "board" is backlogged for 120.0 s
    Then 2 engines have model "writing", 1 has "board" and 0 none

  Scenario: Several spare servers move to a backlogged pool at a time
    Given engines 1 to 10 with model "writing"
    And pool "writing" wants 1 servers and pool "board" wants 1
    And 120.0 s pass
    When pool "board" is backlogged for 60.0 s
    Then 5 engines have "board", and 2 to 4 of them loaded at a time

  Scenario: Short and alternating backlogs move no server
    Given engines 1 to 3 with model "writing"
    And pool "writing" wants 1 servers and pool "board" wants 1
    And 120.0 s pass
    When "board" and "writing" are backlogged in turns of 8.0 s for 200.0 s
    Then 2 engines have model "writing", 1 has "board" and 0 none

  Scenario: A retired version is unloaded where no pool selects it
    Given an engine with version "1" of model "writing"
    When pool "writing" selects version "2" and wants 0 servers
    And 60.0 s pass
    Then 0 engines have model "writing", 0 has "board" and 1 none

  Scenario: A server that has the model and lacks the role needs no load
    Given engines 1 to 1 with model "writing"
    When pool "writing" selects role "prefill" and wants 1 servers
    And 60.0 s pass
    Then engine 1 has role "prefill" and loaded nothing
