Feature: What engines hold is known to every entry, also after a restart

  Scenario: A part that left an engine's memory counts there no longer
    Given a leader that follows engine "e1"
    And entry "a" has reported part 7 with 13000 tokens at engine "e1"
    When engine "e1" tells that part 7 keeps 0 tokens
    Then entry "b" believes 0 tokens of part 7 at engine "e1"

  Scenario: A part of which only a beginning is left counts by that
    Given a leader that follows engine "e1"
    And entry "a" has reported part 7 with 13000 tokens at engine "e1"
    When engine "e1" tells that part 7 keeps 4096 tokens
    Then entry "b" believes 4096 tokens of part 7 at engine "e1"

  Scenario: Parts of single requests do not travel
    Given a leader that follows engine "e1"
    When engine "e1" tells that part 8 keeps 900 tokens
    Then entry "b" is told nothing

  Scenario: A part that becomes shared is told with all who hold it
    Given a leader that follows engine "e1"
    And engine "e1" tells that part 7 keeps 13000 tokens
    And entry "b" has asked once
    When entry "a" has reported part 7 with 13000 tokens at engine "e2"
    Then entry "b" believes 13000 tokens of part 7 at engine "e1"
    And entry "b" believes 13000 tokens of part 7 at engine "e2"

  Scenario: All processes lost power, and the engines kept their memories
    Given a leader that follows engine "e1"
    And engine "e1" is listed with part 7 of 13000 tokens and part 9 of 20 tokens
    When entry "b" starts again
    Then entry "b" believes 13000 tokens of part 7 at engine "e1"
    And entry "b" believes 0 tokens of part 9 at engine "e1"

  Scenario: Another host leads and counts from the start
    Given a leader that follows engine "e1"
    And entry "b" has asked once
    When another host leads, and lists engine "e1" with part 7 of 13000 tokens
    Then entry "b" believes 13000 tokens of part 7 at engine "e1"

  Scenario: An engine that is not followed is believed to keep half its memory
    Given an entry that is told of no memory
    When it reads 100 prompts of 10000 tokens at engine "e1" of 400000 tokens
    Then it believes at most 220000 tokens at engine "e1"

  Scenario: Prompts of single requests do not push shared parts out
    Given an entry that was told the memory of engine "e1"
    When it reads 100 prompts of 10000 tokens at engine "e1" of 400000 tokens
    Then the one beginning that they share still counts as held

  Scenario: Events were missed
    Given an engine "e1" whose cache can be followed
    When the leader follows it, and the second page tells that events are lost
    Then the engine was listed twice
    And what the second list holds is what counts

  Scenario: An engine starts again under its name
    Given an engine "e1" whose cache can be followed
    When the leader follows it, and the second page is of another start
    Then the engine was listed twice

  Scenario: The cache of an engine does not answer
    Given an engine "e1" whose cache can be followed
    When the leader follows it, and the second page does not come
    Then the engine was listed twice

  Scenario: A host that leads no longer follows nobody
    Given an engine "e1" whose cache can be followed
    When the leader follows it, and then another host leads
    Then nothing is followed or known
