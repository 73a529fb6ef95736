Feature: Backend servers get the models that the pools ask for

  Background:
    Given hosts "h0", "h1" and "h2", led by "h0"

  Scenario: A pool gets its wanted servers from those that serve none
    Given engines 1 to 4 without a model
    When pool "writing" wants 2 servers and pool "board" wants 1
    And 120.0 s pass
    Then 2 engines have model "writing", 1 has "board" and 1 none
    And 3 orders were taken, each by another engine

  Scenario: Two pools that want the same spare server don't both get it
    Given engines 1 to 1 without a model
    When pool "writing" wants 1 servers and pool "board" wants 1
    And 120.0 s pass
    Then 1 orders were taken, each by another engine

  Scenario: A server is out of the grants and idle before its order
    Given engines 1 to 2 with model "writing"
    And engine 1 and 2 run 3 requests each that end 8.0 s after work stops coming
    When pool "writing" wants 1 servers and pool "board" wants 1
    And 120.0 s pass
    Then every order met an engine without work
    And no engine is held

  Scenario: Loads are spaced for the weight store
    Given engines 1 to 4 without a model
    When pool "writing" wants 4 servers and pool "board" wants 0
    And 120.0 s pass
    Then any two loads started at least 5.0 s apart

  Scenario: A lost answer makes the same order go again, and it counts once
    Given engines 1 to 1 without a model
    And engine 1 loses 2 answers
    When pool "writing" wants 1 servers and pool "board" wants 0
    And 120.0 s pass
    Then engine 1 took 3 orders with one fencing number and loaded once

  Scenario: An issuer that is cut off is replaced, and its late order refused
    Given engines 1 to 1 without a model
    And pool "writing" wants 1 servers and pool "board" wants 0
    When the orders of "h0" take 60.0 s on their way
    And 25.0 s pass
    And "h0" is cut off and "h1" leads
    And 200.0 s pass
    Then engine 1 carried out one order, and refused the late one

  Scenario: For a server that ignores fencing the new issuer waits out the old lease
    Given engines 1 to 1 without a model that ignore fencing
    And pool "writing" wants 1 servers and pool "board" wants 0
    When the orders of "h0" get lost
    And 25.0 s pass
    And "h0" is cut off with 30.0 s of its lease left and "h1" leads
    And 100.0 s pass
    Then no order of "h1" came within 32.0 s of its lead

  Scenario: A new leader goes on where the one before it stopped
    Given engines 1 to 3 without a model
    And pool "writing" wants 3 servers and pool "board" wants 0
    When 25.0 s pass
    And "h0" is cut off and "h1" leads
    And 150.0 s pass
    Then 3 engines have model "writing", 0 has "board" and 0 none
    And every engine loaded once

  Scenario: A spare server goes to the pool with a lasting backlog, and back
    Given engines 1 to 3 with model "writing"
    And pool "writing" wants 1 servers and pool "board" wants 1
    And 120.0 s pass
    When pool "board" is backlogged for 120.0 s
    Then 1 engines have model "writing", 2 has "board" and 0 none
    When pool "writing" is backlogged for 120.0 s
    Then 2 engines have model "writing", 1 has "board" and 0 none

  Scenario: A pool that needs its slots gives no server away
    Given engines 1 to 3 with model "writing"
    And pool "writing" wants 1 servers and pool "board" wants 1
    And 120.0 s pass
    And every engine of "writing" runs 3 requests
    When pool "board" is backlogged for 120.0 s
    Then 2 engines have model "writing", 1 has "board" and 0 none

  Scenario: Several spare servers go to a backlogged pool at a time
    Given engines 1 to 10 with model "writing"
    And pool "writing" wants 1 servers and pool "board" wants 1
    And 120.0 s pass
    When pool "board" is backlogged for 60.0 s
    Then 5 engines have "board", and 2 to 4 of them loaded at a time

  Scenario: A short backlog moves nothing, nor do pools that take turns
    Given engines 1 to 3 with model "writing"
    And pool "writing" wants 1 servers and pool "board" wants 1
    And 120.0 s pass
    When "board" and "writing" are backlogged by turns of 8.0 s for 200.0 s
    Then 2 engines have model "writing", 1 has "board" and 0 none

  Scenario: A retired version is unloaded where no pool selects it
    Given an engine with version "1" of model "writing"
    When pool "writing" selects version "2" and wants 0 servers
    And 60.0 s pass
    Then 0 engines have model "writing", 0 has "board" and 1 none

  Scenario: A server that only lacks its role needs no load
    Given engines 1 to 1 with model "writing"
    When pool "writing" selects role "prefill" and wants 1 servers
    And 60.0 s pass
    Then engine 1 has role "prefill" and loaded nothing
