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
