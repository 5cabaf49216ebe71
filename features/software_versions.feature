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

  # Guards against: origins that are lost with a leader, or believed too long.
  Scenario: A leader that starts anew hears of all streams from the entries
    Given 3 entries and their leader
    When a stream begins through each entry
    And another host leads that has just started
    Then the leader knows who began each stream
    And 20 seconds later it knows none

  # Guards against: an origin that a second send before the first event made
  # wrong.
  Scenario: The last engine that a stream was sent to counts as its origin
    Given 1 entries and their leader
    When a stream is sent to "v1" and, before an event, to "v2"
    Then the leader knows that "v2" began it

  # Guards against: memory that grows with the streams that were ever begun.
  Scenario: Only so many streams are kept, the newest
    Given records of at most 100 streams
    When 250 streams begin, each a second after the one before
    Then the newest 100 are known and no other
    And of streams that have ended nothing is left

  # Guards against: a guess in place of a record, though one version is listed.
  Scenario Outline: A stream of unknown origin goes on nowhere
    Given 2 engines of "v1" and 0 idle engines of "v2" that decode
    When a caller takes up a stream and <what>
    Then it is refused as not run with "<code>" and nothing is sent

    Examples:
      | what                                 | code           |
      | nobody knows its origin              | stream-unknown |
      | names no attempt that began it       | stream-unknown |
      | the leader does not answer           | stream-unknown |
      | its version is no longer listed      | no-endpoint    |
      | its route has moved to another service | no-endpoint  |
      | its route may no longer be resumed   | no-endpoint    |
      | its list is old                      | stale-node     |

  # Guards against: sound streams that are kept from going on.
  Scenario: A stream that the leader knows goes on, whatever else is listed
    Given 1 engines of "v1" and 4 idle engines of "v2" that decode
    When a caller takes up a stream that "v1" began elsewhere
    Then it went on at "v1" after the last event of its caller

  # Guards against: a stream that another version carries on, since the record
  # of its beginning was made for an engine that brought no event.
  Scenario Outline: What the leader was told of a stream stays true
    Given 1 engines of "v1" and 1 idle engines of "v2" that decode
    And a leader that hears only the first report
    When a stream is sent to "v1", which <fails> before any event
    Then "v2" brought its events and is the one that the leader knows

    Examples:
      | fails                           |
      | breaks off                      |
      | writes a comment and breaks off |
      | declines                        |
      | answers with a failure          |
      | cannot be connected to          |

  # Guards against: a record that is replaced by the one before it, as reports
  # tell of streams by their origin.
  Scenario: Of two records in one report the later one counts
    Given 1 entries and their leader
    When streams of "v2", of "v1" and of "v2" are noted before a report, the last two under one id
    Then the leader knows that "v2" began it

  # Guards against: a stream that goes on at an engine which started again under
  # its name with other software while its entry was out of step.
  Scenario: An entry with an old list resumes no stream
    Given 2 engines of "v1" and 0 idle engines of "v2" that decode
    And a list that gets old in the middle of the stream
    When a stream begins at "v1" and breaks off after event 2
    Then it went on nowhere and its answer is visibly broken

  # Guards against: a record of a version that the engine does not run any more.
  Scenario Outline: What is not certain of a beginning is not told
    Given 1 engines of "v1" and 0 idle engines of "v2" that decode
    When a stream begins at "v1" while <what>
    Then it is whole and the leader is told nothing of it

    Examples:
      | what                                          |
      | the list is old                               |
      | its engine is listed anew with other software |

  # Guards against: a stream that goes on at an engine which started again under
  # its name with other software, through an entry that stood still meanwhile.
  Scenario: An entry that stood still takes up no stream at another version
    Given a platform with 2 engines of "v1" and 3 of "v2"
    When "front-1" is killed in the middle of 12 streams while "front-2" stands still and "v1" becomes "v3"
    And their callers take them up at "front-2"
    Then the take-ups of streams of "v1" are refused as not run
    And every stream of "v2" went on at the version that began it and is whole
