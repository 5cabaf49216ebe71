Feature: What one entry saw of a back end, the others need not find out

  Scenario: A crashed engine is found out once
    Given an entry in zone "plovdiv-a" with engines in four zones
    When an entry in zone "asenovgrad" tells that "e1" refuses connections
    Then the entry sends nothing to "e1" for now
    And 0.6 s later the entry goes on using "e1"

  Scenario: One caller's broken link takes no sound engine from all
    Given an entry in zone "plovdiv-a" with engines in four zones
    When an entry in zone "asenovgrad" tells that "e1" does not answer
    Then the entry goes on using "e1"

  Scenario: A zone that is cut off takes no engine from the others
    Given an entry in zone "plovdiv-a" with engines in four zones
    When an entry in zone "asenovgrad" tells that "e1" does not answer
    And an entry in zone "asenovgrad" tells that "e1" does not answer another entry of that zone
    Then the entry goes on using "e1"

  Scenario: An engine that is dark for two zones is dark for all
    Given an entry in zone "plovdiv-a" with engines in four zones
    When an entry in zone "asenovgrad" tells that "e1" does not answer
    And an entry in zone "pazardzhik" tells that "e1" does not answer
    Then the entry sends nothing to "e1" for now

  Scenario: An engine that is dark for this zone is dark for this entry
    Given an entry in zone "plovdiv-a" with engines in four zones
    When an entry in zone "plovdiv-a" tells that "e1" does not answer
    And an entry in zone "plovdiv-a" tells that "e1" does not answer another entry of that zone
    Then the entry sends nothing to "e1" for now

  Scenario: A notice of an engine that is gone harms nothing
    Given an entry in zone "plovdiv-a" with engines in four zones
    When an entry in zone "asenovgrad" tells that "e9" refuses connections
    Then the entry goes on using "e1"

  Scenario: A crashed engine is told through the leader to all
    Given 68 entries with streams to a leader
    When entry 1 cannot connect to engine "e1"
    And the leader pushes
    Then every entry was told of 1 engine that refuses connections
