Feature: Figures and texts of others that do not fit

  # Guards against: a figure of more than 64 bits ends the task that sends it,
  # and who waits for the answer is left waiting.
  Scenario: An answer that cannot be encoded is an error of the call
    Given a peer that answers calls with a figure of 65 bits
    When it is called
    Then the call ends at once with "internal"

  # Guards against: an exception ends the reader of a connection, whose
  # channels then wait for ever.
  Scenario: A connection whose reader fails is lost
    Given a connection whose reader fails on each frame
    When a frame arrives on it
    Then the connection is lost

  # Guards against: an id of more than 64 bits or an impossible figure of one
  # engine's cache ends the pushes of the leader to all entries.
  Scenario: Odd parts in the cache of an engine spoil no other one
    Given an engine that lists parts with odd ids and figures among sound ones
    When the leader takes its listing and its events
    Then it can push the sound ones to the entries

  # Guards against: deep nesting in a reply of an engine ends the task that
  # reads it.
  Scenario Outline: A nested reply of an engine is an unreadable one
    Then a nested <reply> is unreadable

    Examples:
      | reply          |
      | cache listing  |
      | page of events |
      | report         |
      | prefill reply  |

  # Guards against: a handle with a line feed puts headers into a request, or
  # one beyond latin-1 fails the request that was prefilled.
  Scenario Outline: A handle that cannot stand in a header is none
    Then a prefill reply with the handle <handle> names no KV cache

    Examples:
      | handle           |
      | "a\r\nX: 1"      |
      | "\u0444"         |
      | "a b"            |
      | ""               |
      | 7                |

  # Guards against: an odd header or event of a replica fails its answer.
  Scenario Outline: Odd values in an answer count as none
    Then an answer with "<name>" of "<text>" is read

    Examples:
      | name         | text          |
      | Keep-Alive   | timeout=²     |
      | Keep-Alive   | timeout=٣     |
      | Keep-Alive   | timeout=-1    |
      | Keep-Alive   | timeout=1e999 |
      | Server-Limit | nan           |
      | Server-Limit | -1            |
      | Server-Limit | soon          |

  # Guards against: the id of an event is too long for an integer, and the
  # stream ends with an error of ours.
  Scenario: Event ids of thousands of digits do not end a stream
    Then events with ids of 5000 digits are passed on
