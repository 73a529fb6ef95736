Feature: A stop of a listener leaves no request that has come unanswered

  # Guards against a planned stop that resets requests which have just come on a kept
  # connection.
  Scenario: A request that lies in its socket as the listener stops gets an answer
    Given a listener that allows heads of 1024 bytes
    And a caller that has had an answer on a connection that it keeps
    When the caller sends a request and the listener stops before it reads it
    Then the caller gets a whole answer
