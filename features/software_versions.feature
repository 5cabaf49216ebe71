Feature: Streams keep to the software version that began them

  # Guards against: a stream that one software version begins and another one
  # ends, within one answer.
  Scenario: A stream that breaks off goes on at its own version only
    Given 2 engines of "v1" and 4 idle engines of "v2" that decode
    When a stream begins at "v1" and breaks off after event 2
    Then it went on at another engine of "v1" and is whole

  # Guards against: the same, when no other engine of its version is left.
  Scenario: A stream whose version is served nowhere else ends visibly broken
    Given 1 engines of "v1" and 4 idle engines of "v2" that decode
    When a stream begins at "v1" and breaks off after event 2
    Then it went on nowhere and its answer is visibly broken

  # Guards against: streams kept from going on that sound engines could serve.
  Scenario: A stream without an event yet may begin at any version
    Given 1 engines of "v1" and 1 idle engines of "v2" that decode
    When a stream begins at "v1" and breaks off after event 0
    Then it began anew at "v2" and is whole

  # Guards against: a stream that one software version begins and another one
  # ends, over the tries of its caller, after its entry was killed.
  Scenario: A stream whose entry is killed is taken up at its own version
    Given a platform with 2 engines of "v1" and 3 of "v2"
    When "front-1" is killed in the middle of 12 streams
    And their callers take them up at "front-2"
    Then every stream went on at the version that began it and is whole

  # Guards against: the same, when every entry was killed and the servers of the
  # older version have left meanwhile.
  Scenario: Streams of a version that has left are not joined with another one
    Given a platform with 2 engines of "v1" and 3 of "v2"
    When all entries are killed in the middle of 12 streams while "v1" leaves
    And their callers take them up at "front-2"
    Then the take-ups of streams of "v1" are refused as not run
    And every stream of "v2" went on at the version that began it and is whole
