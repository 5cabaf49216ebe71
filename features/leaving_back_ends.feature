Feature: A back end that says it leaves, or wants no requests for a time, gets none

  # Guards against: requests at a back end that had said in its answers that it
  # leaves, for as long as the list did not show it.
  Scenario: A back end that says it leaves gets no more calls of any entry
    Given a platform with 5 control hosts, 2 entries, 2 services and 3 engines
    When document 3 is published at "core-1"
    Then every entry is ready within its bound
    When "i-desk1" begins to say that it leaves and a call of "/look/plain" hears it
    Then 30 calls of "/look/plain" at "front-1" are served and none reaches "i-desk1"
    And a second later 30 calls of "/look/plain" at "front-2" are served and none reaches "i-desk1"

  # Guards against: the same for a stream, whose engine answers two calls of
  # ours, to read the prompt and to write.
  Scenario: An engine that says it leaves gets no more streams
    Given a platform with 5 control hosts, 2 entries, 2 services and 3 engines
    When document 3 is published at "core-1"
    Then every entry is ready within its bound
    When the engine that writes for "/check/plain" begins to say that it leaves
    Then 20 calls of "/check/plain" at "front-1" are served and none reaches that engine

  # Guards against: requests at a back end inside the time for which it wanted
  # none, and callers refused because it looked idle.
  Scenario: A back end that turns away with a time gets nothing until it is over
    Given a platform with 5 control hosts, 2 entries, 2 services and 3 engines
    When document 3 is published at "core-1"
    Then every entry is ready within its bound
    When "i-desk1" turns a call of "/look/plain" away for 3 seconds
    Then 60 calls of "/look/plain" at "front-1" are served and none reaches "i-desk1"
    And 3 seconds later calls of "/look/plain" at "front-1" reach "i-desk1" again

  # Guards against: a fall back to back ends that leave, and callers held when
  # nobody is left.
  Scenario: Callers are refused at once when every back end leaves
    Given a platform with 5 control hosts, 2 entries, 2 services and 3 engines
    When document 3 is published at "core-1"
    Then every entry is ready within its bound
    When "i-desk1" begins to say that it leaves and a call of "/look/plain" hears it
    And "i-desk2" begins to say that it leaves and a call of "/look/plain" hears it
    Then 10 calls of "/look/plain" at "front-1" get 503 at once, with a time to come back
