Feature: An answer that a back end cut never looks whole to a caller

  # Guards against: a head or a body that a back end cut, passed on as a success
  # with an empty or a short body.
  Scenario Outline: A back end stops within <framing> of <kind>, at any byte
    Given an entry and a back end that stops
    When it stops at each byte of <kind> with <framing>
    Then callers get the whole answer after its last byte, else a failure or a visible break

    Examples:
      | kind     | framing              |
      | a lookup | a length             |
      | a lookup | a length that closes |
      | a lookup | chunks               |
      | a lookup | chunks and trailers  |
      | a lookup | an interim answer    |
      | a stream | a length             |
      | a stream | a length that closes |
      | a stream | chunks               |
      | a stream | chunks and trailers  |
      | a stream | an interim answer    |

  # Guards against: a stream that its server cut in an event and that looks whole,
  # as the service, not the route, told what an answer is; and a complete answer
  # of an engine that was taken for a broken stream.
  Scenario Outline: A route and a service of different kinds, cut within <framing> of <kind>
    Given an entry and a back end that stops
    When it stops at each byte of <kind> with <framing>
    Then callers get the whole answer after its last byte, else a failure or a visible break

    Examples:
      | kind                       | framing              |
      | a stream without an engine | a length             |
      | a stream without an engine | a length that closes |
      | a stream without an engine | chunks               |
      | a stream without an engine | chunks and trailers  |
      | a stream without an engine | an interim answer    |
      | a lookup at an engine      | a length             |
      | a lookup at an engine      | chunks               |

  # Guards against: a stream that its server cut in an event and that looks whole,
  # as only the connection tells the end.
  Scenario Outline: <kind> with neither a length nor chunks is cut in an event
    Given an entry and a back end that stops
    When it stops at each byte of <kind> with neither
    Then a success that looks whole ends with an event
    And no caller gets an empty success

    Examples:
      | kind                       |
      | a stream                   |
      | a stream without an engine |

  # Guards against: the same on a connection that had carried whole answers.
  Scenario Outline: A back end stops within <kind> on a kept connection
    Given an entry and a back end that stops
    And each request follows a sound one on its connection
    When it stops at each byte of <kind> with chunks
    Then callers get the whole answer after its last byte, else a failure or a visible break

    Examples:
      | kind     |
      | a lookup |
      | a stream |

  # Guards against: a head that was cut, taken for the answer of a repeated call.
  Scenario: A lookup that a back end cut is answered by another one
    Given an entry, a back end that stops and a sound one
    When it stops at each byte of a lookup with a length
    Then each caller gets the whole answer

  # Guards against: a back end that stops behind its head, taken for one with
  # nothing to say, where only the connection tells the end.
  Scenario Outline: <kind> without a length or chunks stops
    Given an entry and a back end that stops
    When it stops at each byte of <kind> with neither
    Then no caller gets an empty success
    And after a reset no caller gets a success that looks whole

    Examples:
      | kind     |
      | a lookup |
      | a stream |

  # Guards against: a stream that broke off and looks whole to callers who know
  # no chunks, since its end is the end of the connection.
  Scenario: A stream that breaks off is reset for callers of HTTP/1.0
    Given an entry and a back end that stops
    And callers that speak HTTP/1.0
    When it stops at each byte of a stream with chunks
    Then callers get the whole answer after its last byte, else a failure or a visible break

  # Guards against: a stream whose end callers of HTTP/1.0 wait for in vain, as
  # they were told that the connection is kept.
  Scenario: The end of a stream reaches callers of HTTP/1.0 who keep connections
    Given an entry and a back end that stops
    And callers that speak HTTP/1.0 and keep connections
    When it stops at each byte of a stream with chunks
    Then callers get the whole answer after its last byte, else a failure or a visible break

  # Guards against: a handle to KV cache that was cut, taken for another one.
  Scenario Outline: A prompt is read at an engine that stops
    Given an entry, a back end that stops and a sound one
    When it stops at each byte of a read prompt with <framing>
    Then each caller gets the whole answer
    And only a whole handle is decoded from

    Examples:
      | framing  |
      | a length |
      | chunks   |
      | neither  |

  # Guards against: a kept channel that is closed without an answer, or with one
  # that was begun without an event, when the limit is reached before the first.
  Scenario Outline: A back end falls silent within <kind> until its time limit
    Given an entry and a back end that stops
    And a document has lowered the time limit of its routes
    When it falls silent within <kind> with <framing>
    Then callers without an event get 504 on a channel that stays, others a visible break

    Examples:
      | kind                     | framing          |
      | a stream                 | chunks           |
      | a stream                 | neither          |
      | a stream behind comments | chunks           |
      | a stream behind comments | an interim answer |
      | a stream without an engine | chunks           |
      | a stream without an engine | neither          |

  # Guards against: the same at the end of a planned stop.
  Scenario: A stream of comments is answered at the end of a planned stop
    Given an entry and a back end that stops
    Then a stream that has sent comments when the entry ends its planned stop gets 502
