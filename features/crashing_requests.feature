Feature: Requests that crash engines
  A content that crashes each engine that runs it costs the fleet at most two
  engines. The engines' own records tell who crashed; the platform starts a
  crashed engine again.

  Scenario: A crashing request is sent again and by others at once
    Given a fleet of 4 engines which the platform starts again
    When 12 answers of 150 tokens are streamed
    And 4 callers send a request that crashes engines, 3 times each
    Then every answer is whole
    And at most 2 engines have crashed
    And the last answer of each caller is the refusal "quarantined", "not-run"
    And no engine has had a request that was answered "not-run"
    When the operator releases the content
    Then "explain" of the content tells of "engine crash, released"
    And the content is not quarantined any more
    And every endpoint serves again
