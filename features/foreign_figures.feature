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

  # Guards against: a caller's odd figures end its entry's reports of load and
  # the leader's pushes to all entries.
  Scenario Outline: Odd figures of a caller can be told to the leader
    Given a caller's request of "<tokens>" tokens with parts "<parts>"
    When an entry has 20 of them at an engine
    Then the leader takes its report and can push it

    Examples:
      | tokens      | parts                      |
      | 10,10       | ab:5,ffffffffffffffffff:5,c:5 |
      | 10,10       | ab:99999999999999999999,c:5 |
      | 1e300,1e300 | ab:5,c:5                   |
      | -5,-7       | ab:5,c:5                   |
      | nan,inf     | ab:5,c:5                   |
      | ²,٣         | ab:5,c:5                   |

  # Guards against: int reads more than the digits of a part's id and tokens.
  Scenario Outline: Malformed parts of a prompt are refused
    Then a request with parts "<parts>" is a bad request

    Examples:
      | parts  |
      | 1_0:5  |
      | -1:5   |
      | 0x1:5  |
      | ab:-5  |
      | ab:1_0 |
      | ab     |
      | ٣:5    |

  # Guards against: a time to wait that no clock can hold fails the request.
  Scenario: A time to wait beyond all bounds is a day
    Then a request with 1e300 ms to wait waits a day

  # Guards against: an address that a list of before was stored with fails its
  # requests with an error of ours, as if they may have run.
  Scenario Outline: A back end at an impossible address was not sent anything
    Then a connection to "<address>" is not made, and nothing was sent

    Examples:
      | address           |
      | 127.0.0.1:70000   |
      | 127.0.0.1:-1      |
      | 127.0.0.1:1_0     |
      | 127.0.0.1:٨٠      |
      | 127.0.0.1         |
      | @/nowhere         |
