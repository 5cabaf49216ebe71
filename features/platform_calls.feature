Feature: Calls of the system's own to the platform, and bytes that are no answer

  Scenario Outline: Bytes that are no answer fail the call and nothing else
    Given a server that answers <bytes>
    Then a call to it raises an error of the connection

    Examples:
      | bytes                       |
      | nothing                     |
      | garbage                     |
      | half a head                 |
      | a body that is cut          |
      | an endless line             |
      | a body of 3 MB              |

  # Guards against: a reply that never ends keeps the reader of the list, or
  # fills the memory of its process.
  Scenario Outline: A reply without an end fails the call in bounded time
    Given a server whose answers do not end <how>
    Then a call to it raises an error of the connection within 4 s

    Examples:
      | how       |
      | in drops  |
      | in floods |

  # Guards against: a head or a body that a server cut, taken for a whole answer
  # to a call of the system itself.
  Scenario Outline: A reply with <framing> is whole only with its last byte
    Given a server that stops at any byte of a reply with <framing> and <ends>
    Then a call to it returns the whole reply after its last byte and else fails

    Examples:
      | framing                | ends   |
      | a length               | closes |
      | a length               | resets |
      | chunks                 | closes |
      | chunks                 | resets |
      | chunks and trailers    | closes |
      | chunks and trailers    | resets |
      | an interim answer      | closes |
      | an interim answer      | resets |

  # Guards against: the same at the system's other clients.
  Scenario Outline: <reader> takes a reply for whole only with its last byte
    Given a server that stops at any byte of a reply with <framing> and closes
    Then <reader> gets the whole reply after its last byte and else none

    Examples:
      | reader              | framing             |
      | an endpoint         | a length            |
      | an endpoint         | chunks and trailers |
      | an endpoint         | an interim answer   |
      | the reader of hosts | a length            |
      | the reader of hosts | an interim answer   |

  # Guards against: an empty reply of a server that stopped behind the head.
  Scenario Outline: <reader> takes no head alone for a reply
    Given a server that closes behind the head of a reply without a length
    Then a call of <reader> fails within 1 s

    Examples:
      | reader              |
      | the platform        |
      | an endpoint         |
      | the reader of hosts |

  # Guards against: a reply without an end that fills the memory of its process.
  Scenario Outline: <reader> ends a reply that does not end
    Given a server whose answers do not end in floods
    Then a call of <reader> fails within 4 s
    And the process took less than 100 MB more

    Examples:
      | reader              |
      | the platform        |
      | an endpoint         |
      | the reader of hosts |

  # Guards against: the same, where only the connection tells the end.
  Scenario: A reply that ends with its connection is whole after a close only
    Given a server that stops at any byte of a reply without a length and resets
    Then each call to it fails

  # Guards against: bytes that belong to no call, taken for the reply to the next.
  Scenario: A reply that came twice is not the reply to the next call
    Given a server that sends each reply twice on a kept connection
    Then the second call on a connection gets a reply of its own

  Scenario: Entries of a cache that cannot be read spoil no other one
    Given a server that lists a cache with one good entry among four bad ones
    Then the good entry is what the engine holds

  Scenario: The list reader goes on after an answer that is none
    Given a server that answers garbage
    When a leader reads its list of back ends there 3 times
    Then each read counts as a failure

  # Guards against: a request is taken for one that may have run because a
  # number in its head is too large for an integer.
  Scenario Outline: A number in the head of a request that is no finite number
    Then a request with "<text>" ms to wait gets the default time

    Examples:
      | text     |
      | inf      |
      | -inf     |
      | 1e999    |
      | nan      |
      | soon     |
