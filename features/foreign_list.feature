Feature: Entries of the platform's list that other writers left

  # Guards against: one odd entry ends the reading of the list, or loses others.
  Scenario Outline: An odd entry spoils no sound one
    Given a list with a sound entry on each side of <odd>
    Then the sound entries are listed, can be stored, and no other

    Examples:
      | odd                             |
      | nested arrays                   |
      | nested objects                  |
      | nesting in a sound entry        |
      | nested deeper than the decoder  |
      | nesting that does not end       |
      | an array                        |
      | a null                          |
      | a number                        |
      | an empty object                 |
      | a missing address               |
      | an id that is a number          |
      | half a surrogate pair           |
      | half a surrogate in a key       |
      | a bad escape                    |
      | bytes that are no UTF-8         |
      | control bytes in a string       |
      | an escaped line feed in the id  |
      | an id of another script         |
      | an empty id                     |
      | a long id                       |
      | control characters in the zone  |
      | an empty version                |
      | NaN                             |
      | an infinite number              |
      | slots of 64 bits                |
      | slots of 300 digits             |
      | slots of 5000 digits            |
      | slots below zero                |
      | a fraction of slots             |
      | port 0                          |
      | port -1                         |
      | port 70000                      |
      | port 1_0                        |
      | port with a space               |
      | a port of other digits          |
      | an IP of other digits           |
      | a name for an IP                |
      | an IP of three parts            |
      | the IP of any host              |
      | no port                         |
      | an unknown state                |
      | an unknown stage                |
      | an entry of 5 MB                |
      | a million brackets              |
      | a bracket too many              |
      | a bracket too few               |
      | a quote too few                 |
      | no JSON at all                  |

  # Guards against: an entry of nobody's service, or one with the id of another
  # entry, takes that one's place.
  Scenario: A second entry with the id of a known back end does not replace it
    Given a leader that knows back end "i-1" of service "desk"
    When it lists "i-1" of services "other, desk, nobody"
    Then it knows "i-1" of service "desk"

  # Guards against: a back end that drains and goes on being used, as an odd page
  # hides the next one, or as another entry of its id is ready.
  Scenario Outline: A back end that leaves is seen to leave <where>
    Given a leader that knows back end "i-1" of service "desk"
    When it reads that "i-1" leaves <where>
    Then "i-1" leaves

    Examples:
      | where                                |
      | on a page behind one of odd brackets |
      | before an entry that is ready        |
      | behind an entry that is ready        |

  # Guards against: pages that cannot be read make back ends vanish, or keep
  # the reader at one reading.
  Scenario Outline: Pages that <fault> leave what they do not name as it was
    Given a leader that knows back end "i-9" of service "desk"
    When it reads pages that <fault>
    Then it knows "i-1" and "i-9" after at most 50 calls

    Examples:
      | fault                   |
      | repeat                  |
      | do not end              |
      | have a number as token  |
      | have a huge token       |
      | have an odd token       |
      | are cut short           |
      | fail after the first    |

  # Guards against: one reading that fails in a way nobody thought of ends the
  # reading for good.
  Scenario: A reading that fails in an unknown way does not end the reading
    Given a leader whose list raises an unknown error once
    Then a reading soon after it lists "i-1", and the failure is counted

  # Guards against: a large odd page keeps the processor from all other tasks of
  # the leader, for longer than its followers wait.
  Scenario Outline: Reading a large odd page leaves the processor to others
    Then other tasks run while a page with <odd> is read

    Examples:
      | odd                 |
      | a million brackets  |
      | a million starts    |

  # Guards against: an entry of another writer, of a service that no manifest
  # names, gets orders and calls of the system.
  Scenario: Engines of a service that no manifest names get no calls
    Given a leader whose list has engines of "llm" and of "nobody"
    When a manifest names "llm"
    Then only engines of "llm" are ordered and followed
