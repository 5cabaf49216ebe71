Feature: Decisions of a direct entry, without a network

  Scenario: A request is refused for the work ahead, not for its own size
    Then a request with 100 ms of work ahead and 2000 ms of its own is taken
    And a request with 900 ms of work ahead is refused as overload
    And a request with 550 ms of work ahead and 100 ms of its own is refused
    And a request that cannot be read before its deadline is refused

  Scenario: Refused callers do not return together
    When 100 callers are refused with the same work ahead
    Then they are told at least 50 different times to come back
    And no time to come back is over 2 seconds

  Scenario: The retry limits hold for all entries together
    Given 4 entries that share 0.2 resends a request and 52 more
    When each gets 100 requests and tries 500 resends
    Then together they resent less than 132 times

  Scenario: The longest prefix wins, however many routes there are
    Given a table with 600 routes and one below another
    Then "/a/b/c" goes to the route of "/a/b/"
    And "/a/x" goes to the route of "/a/"
    And "/nowhere/x" has no route
    And "/a" has no route

  Scenario Outline: A table that contradicts itself is none
    Then a table with <fault> is refused

    Examples:
      | fault                |
      | an unknown service   |
      | two routes at a place |
      | weights of nothing   |
      | a time limit of 0    |
      | a prefix without end |

  Scenario: The highest version of a document wins
    Given an empty control state
    When versions 3, 7, 5 and again 7 with other content are published
    Then version 7 is in force with its first content
    And each publication was acknowledged

  Scenario: A node takes no older document
    Given a node that holds document 7
    When another host sends document 5
    Then the node still holds document 7

  Scenario: A document of hundreds of routes is small on the way
    Given a document of 300 routes
    When it is packed
    Then it takes a tenth of its bytes
    And unpacked it is byte for byte the same

  Scenario: Foreign bytes in place of a packed document
    Given a document of 300 routes
    Then its packed form cut, doubled or foreign is refused

  Scenario: A document that an earlier version stored
    Given a document of 300 routes
    Then it is taken as it stands

  Scenario: An entry that starts takes no table before a fresh stamp
    Given an entry that follows a control host which replays its log
    When documents 3 and 9 come without a stamp
    Then the entry holds no table
    When a fresh stamp comes
    Then the entry holds table 9
    When document 12 comes without a stamp
    Then the entry holds table 12

  Scenario Outline: The only answer of a back end is a failure
    Given a <kind> request that may run twice, and <resends> resends are left
    When every back end answers 500
    Then the caller gets 500 after <sends> sends
    And <taken> resends were taken from the limits

    Examples:
      | kind  | resends | sends | taken |
      | model | 0       | 1     | 0     |
      | plain | 0       | 1     | 0     |
      | model | 5       | 2     | 1     |
      | plain | 5       | 2     | 1     |

  # Guards against a failure after the work that callers take for "not run".
  Scenario Outline: A promise without proof is replaced where nothing may run twice
    Given a <kind> request that may run only once
    When every back end answers <status>
    Then the caller gets <answer>, and the seal only with the own status

    Examples:
      | kind  | status | answer |
      | plain | 503    | 502    |
      | plain | 429    | 502    |
      | plain | 408    | 502    |
      | model | 503    | 502    |
      | model | 429    | 502    |
      | plain | 500    | 500    |
      | plain | 404    | 404    |
      | model | 500    | 500    |

  # Guards against a replaced answer where a repetition does no harm.
  Scenario Outline: A promise without proof is passed on where a request may run twice
    Given a <kind> request that may run twice, and 0 resends are left
    When every back end answers 503
    Then the caller gets 503, and the seal only with the own status

    Examples:
      | kind  |
      | plain |
      | model |

  Scenario: A back end is told whose memory to copy
    Then a read that copies names the holder's address
    And a read that copies nothing names none

  Scenario: Only whole events pass, wherever the bytes are cut
    Then a stream of 20 events cut at any place gives the same events
    And the id of the last whole event is known

  Scenario: A request that ends its engines is barred on every entry
    When a request has ended 3 engines on one entry
    Then another entry that hears of it bars it
    And another request is not barred

  Scenario: Roles wait until a pool has settled
    Given a leader with 9 engines of which 3 read
    When it looks at them for 1 second
    Then it has ordered nothing
    When it looks at them for 5 seconds
    Then it has ordered 3 engines to read, each with the term as fence

  Scenario: A host that is no leader orders nothing
    Given a follower with 9 engines of which 3 read
    When it looks at them for 8 seconds
    Then it has ordered nothing

  Scenario: A leader without a quorum orders nothing
    Given a leader with 9 engines of which 3 read
    And it has no quorum
    When it looks at them for 8 seconds
    Then it has ordered nothing

  Scenario: A full pipe of the log holds nothing up
    When 5000 request lines are written while nobody reads
    Then the lines that did not fit are counted

  Scenario: Memory of a prompt is freed when no further send is allowed
    Given a model request whose prompt was read, and no resend is allowed
    When the engine that should take the memory cannot be reached
    Then the request is refused as not run and the memory is freed

  Scenario: A failure after a run never says "not run"
    Then a request that ran once and has no time left fails in doubt
    And a request that never ran and has no time left is refused

  Scenario: An engine that fails reads at once looks idle and gets no more
    Given a fleet with another engine that reads
    When an engine answers 2 reads with 500
    Then half a second later only the other one is asked to read

  Scenario: An engine that declines reads is asked again soon
    Given a fleet with another engine that reads
    When an engine declines 2 reads as full
    Then half a second later both may be asked to read

  Scenario: Memory of a prompt is freed when all engines decline it
    Given a model request whose prompt was read, and no resend is allowed
    When the engine that should take the memory declines
    Then the request is refused as not run, with no resend left, and the memory is freed

  Scenario: Engines that refuse connections use up no resend
    Given a model request on 5 engines that read, and no resend is allowed
    When all engines that read but the last refuse connections
    Then the prompt was read after 4 refused connections and no resend was taken

  Scenario: A resend that reaches no back end is given back
    Given a model request that was broken off once, and 1 resends are left
    When the next back end refuses connections and the one after it answers
    Then it was answered, and 1 resends were taken from the limits

  Scenario: An engine that nobody can connect to ends the search
    Given a model request on 20 engines that read, and no resend is allowed
    When all engines refuse connections
    Then the request is refused as not run after at most 9 connections

  Scenario Outline: An earlier answer is passed over, wherever the bytes are cut
    Then an earlier answer with <framing> before the own one is passed over

    Examples:
      | framing  |
      | a length |
      | chunks   |
      | no body  |

  Scenario: An earlier answer without an end of its own leaves the call in doubt
    Then an earlier answer that ends with its connection breaks the call

  # Guards against: an interim answer taken for the final one, whose connection
  # is then kept for the next request.
  Scenario: An interim answer is not the answer
    Then an interim answer before the own one is passed over, wherever it is cut
    And an interim answer and the end of the connection break the call

  # Guards against: bytes without end that take the memory of the entry.
  Scenario Outline: Bytes of a back end without end break the answer
    When a back end sends <what> without end
    Then the call is broken off after at most <limit> MB

    Examples:
      | what        | limit |
      | a head      | 1     |
      | a head line | 1     |
      | interim answers | 1 |
      | a body      | 20    |
      | an event    | 3     |
      | trailers    | 1     |
      | tiny chunks | 1     |
      | chunk extensions | 1 |
      | comments between events | 1 |
      | comments before an event | 1 |
