Feature: A request that crashes back ends reaches few of them

  # Guards against: engines crash one after the other under requests that
  # share a prompt part and are otherwise all different.
  Scenario: Requests that share a deadly prompt part are refused, though no two are alike
    Given 1 entry that knows 6 engines
    When requests with the parts "a f00d" crash 3 engines
    Then requests with the parts "a f00d" are refused
    And requests with the parts "f00d" are refused
    And requests with the parts "b c f00d" are refused

  # Guards against: sound requests are kept out because they share a part with
  # deadly ones.
  Scenario: Sound requests with the other parts of a deadly one are served
    Given 1 entry that knows 6 engines
    When requests with the parts "a f00d" crash 3 engines
    Then requests with the parts "a" are served
    And requests with the parts "a b" are served

  Scenario: Every entry refuses them, whichever entries saw the crashes
    Given 4 entries that know 6 engines
    When requests with the parts "a f00d" crash an engine under each of 3 entries
    Then requests with the parts "a f00d" are refused at every entry
    And requests with the parts "a" are served at every entry

  # Guards against: a request that comes again takes the blame, and engines go
  # on crashing under others with its part.
  Scenario: A deadly part is found although one request with it came again
    Given 1 entry that knows 6 engines
    When a request with the parts "a f00d" crashes 3 engines
    Then requests with the parts "a f00d" are refused
    And requests with the parts "a" are served

  Scenario: A deadly request that comes again leaves its parts to others
    Given 1 entry that knows 6 engines
    When a request with the parts "a b" is served
    And a request with the parts "a b" crashes 3 engines
    Then requests with the parts "a b" are served
    And that request is refused

  Scenario: A deadly first part is found in the end
    Given 1 entry that knows 6 engines
    When requests with the parts "f00d b" crash 3 engines
    And requests with the parts "f00d c" crash 1 engines
    And requests with the parts "f00d d" crash 1 engines
    Then requests with the parts "f00d e" are refused
    And requests with the parts "a b" are served

  Scenario: A crash for another reason moves no blame to a part beside the deadly one
    Given 1 entry that knows 6 engines
    When requests with the parts "a f00d" crash 3 engines
    And requests with the parts "a b" crash 1 engines
    Then requests with the parts "a f00d" are refused
    And requests with the parts "a" are served

  Scenario: Two deadly parts are both found
    Given 1 entry that knows 6 engines
    When requests with the parts "a f00d" crash 3 engines
    And a request with the parts "a" is served
    And requests with the parts "a bad" crash 3 engines
    Then requests with the parts "a f00d" are refused
    And requests with the parts "a bad" are refused
    And requests with the parts "a" are served

  Scenario: An engine that starts again under its name crashes again
    Given 1 entry that knows 1 engines
    When requests with the parts "a f00d" crash 3 engines
    Then requests with the parts "a f00d" are refused

  Scenario: A part with which requests are served meanwhile is not deadly
    Given 2 entries that know 6 engines
    When requests with the parts "a" crash 2 engines
    And a request with the parts "a" is served by another entry
    And requests with the parts "a" crash 2 engines
    Then requests with the parts "a" are served at every entry

  Scenario: A request that is served lifts the block of its parts
    Given 2 entries that know 6 engines
    When requests with the parts "a" crash 3 engines
    And a request with the parts "a" is served by another entry
    Then requests with the parts "a" are served at every entry

  # Guards against: three engines are lost within a moment and count as one.
  Scenario: Requests that crash several engines at the same time are found at once
    Given 1 entry that knows 6 engines
    When 3 engines crash at once under requests with the parts "a f00d"
    Then requests with the parts "a f00d" are refused
    And requests with the parts "a" are served

  Scenario: Another entry vouches for a part that it has served
    Given 2 entries that know 6 engines
    When a request with the parts "a" is served by another entry
    And requests with the parts "a" crash 3 engines
    And the entries hear of each other
    Then requests with the parts "a" are served at every entry

  Scenario: Engines that fall together crash for another reason
    Given 1 entry that knows 6 engines
    When a request with the parts "a" is served
    And 6 engines crash at once under requests with the parts "a"
    Then requests with the parts "a" are served

  Scenario: An engine that breaks off answers and runs has not crashed
    Given 1 entry that knows 6 engines
    When 6 engines break off requests with the parts "a" and run on
    Then requests with the parts "a" are served

  Scenario: A part that was sound becomes deadly with new back ends
    Given 1 entry that knows 6 engines
    When a request with the parts "a" is served
    And requests with the parts "a" crash 4 engines
    Then requests with the parts "a" are served
    When requests with the parts "a" crash 1 engines
    Then requests with the parts "a" are refused

  Scenario: A block ends, and a crash after it blocks for twice as long
    Given 1 entry that knows 6 engines
    When requests with the parts "f00d" crash 3 engines
    And 61 s pass
    Then requests with the parts "f00d" are served
    When requests with the parts "f00d" crash 1 engines
    And 119 s pass
    Then requests with the parts "f00d" are refused
    When 2 s pass
    Then requests with the parts "f00d" are served

  Scenario: An entry that starts anew hears of it from the leader
    Given 4 entries that know 6 engines
    When requests with the parts "a f00d" crash an engine under each of 3 entries
    And entry 1 starts anew
    Then requests with the parts "a f00d" are refused at every entry

  Scenario: A leader that starts anew hears of it from the entries
    Given 4 entries that know 6 engines
    When requests with the parts "a f00d" crash an engine under each of 3 entries
    And another host leads
    And entry 1 starts anew
    Then requests with the parts "a f00d" are refused at every entry

  Scenario: A prompt that was read when its part was found out goes no further
    Given 1 entry that knows 6 engines
    When the prompt of a request with the parts "a f00d" is read
    And requests with the parts "a f00d" crash 3 engines
    Then the request is not sent to the engine that would answer it

  Scenario: A request to a plain service that crashes it and comes again
    Given 1 entry that knows 6 engines
    When the same plain request crashes 3 back ends
    Then it is refused before it is sent
    And another plain request is sent
