Feature: An answer that ends before its request is delivered is not whole

  # Guards against: part of an answer without a length, passed on as whole, from a
  # back end whose process ended while it was sent a long upload.
  Scenario Outline: A back end answers <kind> in part and <ends>
    Given an entry and a back end that answers in part and <ends>
    When callers make 10 calls for <kind> with each of 300, 1000000 and 4000000 bytes
    Then no caller got a success that looks whole

    Examples:
      | kind      | ends                         |
      | a lookup  | resets                       |
      | a lookup  | ends its side and resets     |
      | a booking | resets                       |
      | a booking | ends its side and resets     |
      | a stream  | resets                       |
      | a stream  | ends its side and resets     |

  # Guards against: the same, where the reset comes only when more of the upload
  # arrives, and is told to the write alone.
  Scenario Outline: A back end answers <kind> in part and <ends>
    Given an entry and a back end that answers in part and <ends>
    When callers make 10 calls for <kind> with each of 4000000 bytes
    Then no caller got a success that looks whole

    Examples:
      | kind      | ends                          |
      | a lookup  | closes                        |
      | a lookup  | ends its side and resets late |
      | a booking | closes                        |
      | a booking | ends its side and resets late |
      | a stream  | closes                        |
      | a stream  | ends its side and resets late |

  # Guards against: sound answers without a length, refused with the others.
  Scenario Outline: A back end reads <kind>, answers without a length and closes
    Given an entry and a back end that reads all and closes
    When callers make 5 calls for <kind> with each of 300, 1000000 and 4000000 bytes
    Then each caller got a success that looks whole

    Examples:
      | kind      |
      | a lookup  |
      | a booking |
      | a stream  |

  # Guards against: a failed write that hides the answer which explains it.
  Scenario Outline: A back end turns <kind> away during its upload
    Given an entry, a back end that turns requests away and a sound one
    When callers make 20 calls for <kind> with each of 4000000 bytes
    Then each caller got a success that looks whole

    Examples:
      | kind      |
      | a lookup  |
      | a booking |
      | a stream  |

  # Guards against: a whole answer that is lost, or held, since its back end does not
  # read the rest of the upload for now.
  Scenario Outline: A back end answers <kind> whole and reads the upload later
    Given an entry and a back end that answers before it reads on
    When callers make 5 calls for <kind> with each of 300 and 4000000 bytes
    Then each caller got a success that looks whole
    And each call took less than 600 ms

    Examples:
      | kind      |
      | a lookup  |
      | a booking |
      | a stream  |

  # Guards against: an answer of the system's own calls, and of the product's
  # endpoint process, taken for whole.
  Scenario Outline: <reader> takes no part of a reply for the whole
    Given a server that replies in part and <ends>
    Then each of 10 calls of <reader> with 3000000 bytes fails

    Examples:
      | reader       | ends                     |
      | the platform | ends its side and resets |
      | the platform | resets                   |
      | an endpoint  | ends its side and resets |
      | an endpoint  | resets                   |
