Feature: What ran on an engine that crashed
  A crash names every content that ran at its first sign, also when the engine
  was seen to be gone only after its requests had ended.

  Scenario: The engine gives no answer between its crash and its restart
    Given a watched engine that runs "grade-1" and "grade-2"
    When its state page gives no answer
    And "grade-1" breaks off
    And the engine shows a new incarnation
    Then one crash names "grade-1, grade-2"

  Scenario: The engine refuses connections after a request broke off
    Given a watched engine that runs "grade-1" and "grade-2"
    When "grade-1" breaks off
    And the engine refuses connections
    Then one crash names "grade-1, grade-2"

  Scenario: A request that broke off long before a crash
    Given a watched engine that runs "grade-1" and "grade-2"
    When "grade-1" breaks off
    And the engine answers as before
    And the engine shows a new incarnation
    Then one crash names "grade-2"
