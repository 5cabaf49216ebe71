Feature: Streams of services without engines keep all that holds for streams
  The route tells what an answer is, the service only who may write it.

  # Guards against: a stream that is cut for good, though its route lets it go on
  # elsewhere, and one that another software version ends.
  Scenario: A stream that breaks off goes on at its own version only
    Given 2 back ends of "v1" and 4 idle ones of "v2" that are no engines
    When a stream begins at "v1" and breaks off after event 2
    Then it went on at another engine of "v1" and is whole
    And nothing is counted as running

  # Guards against: the same, when no other back end of its version is left.
  Scenario: A stream whose version is served nowhere else ends visibly broken
    Given 1 back ends of "v1" and 4 idle ones of "v2" that are no engines
    When a stream begins at "v1" and breaks off after event 2
    Then it went on nowhere and its answer is visibly broken
    And nothing is counted as running

  # Guards against: streams kept from going on that sound back ends could serve,
  # and an origin of which the leader is not told, or a wrong one.
  Scenario Outline: A stream without an event yet may begin at any version
    Given 1 back ends of "v1" and 1 idle ones of "v2" that are no engines
    And a leader that hears only the first report
    When a stream is sent to "v1", which <fails> before any event
    Then "v2" brought its events and is the one that the leader knows
    And nothing is counted as running

    Examples:
      | fails                           |
      | breaks off                      |
      | writes a comment and breaks off |
      | declines                        |
      | answers with a failure          |
      | cannot be connected to          |

  # Guards against: a stream that is kept back until it ends, so that its caller
  # leaves.
  Scenario: Events are passed on as they come
    Given 1 back ends of "v1" and 1 idle ones of "v2" that are no engines
    When a caller reads once
    Then it has the first event only
    And nothing is counted as running

  # Guards against: events of two runs, and a second run of what may run once.
  Scenario: A stream that is late is sent nowhere else
    Given 2 back ends of "v1" and 0 idle ones of "v2" that are no engines
    And second sends of requests that are late by 10 ms
    When a stream takes 100 ms for each event
    Then it was sent once and is whole
