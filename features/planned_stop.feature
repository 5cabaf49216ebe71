Feature: Callers' connections at a planned stop of a direct entry

  Scenario: An idle connection ends at once
    Given a callers' server with a kept connection that is idle
    When the stop ends what is idle
    Then the caller reads the end of the connection within 0.5 s

  Scenario: A stream that began before the stop is the last on its connection
    Given a callers' server with a kept connection on which a stream has begun
    When the stop ends what is idle
    And the stream ends
    Then the stream was whole
    And the caller reads the end of the connection within 0.5 s

  Scenario: A request that arrived before the stop is still answered
    Given a callers' server with a kept connection that is idle
    When a request arrives just before the stop ends what is idle
    Then the request is answered
    And the caller reads the end of the connection within 0.5 s

  # Guards against: connections that are made during a stop and then wait, with
  # their requests, for the end of the process.
  Scenario: A stop answers the connections made before it and refuses others
    Given a callers' server with a kept connection that is idle
    When a connection with a request is made just before the stop ends listening
    Then the request is answered
    And another connection is refused
