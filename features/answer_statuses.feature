Feature: An answer whose status HTTP does not have is none

  # Guards against: a status such as 999 passed on with the back end's seal, and
  # one below 100 taken for an interim answer until the caller's time is up.
  Scenario Outline: A back end answers <kind> with a status that is none
    Given an entry and a back end with foreign statuses
    When callers make a call for <kind> with each status, on new and kept connections
    Then each caller got 502 within 1 second

    Examples:
      | kind      |
      | a lookup  |
      | a booking |
      | a stream  |

  # Guards against: a fault that is known at once, held until no time is left for
  # another back end.
  Scenario Outline: Another back end answers <kind> in place of a status that is none
    Given an entry, a back end with foreign statuses and a sound one
    When callers make a call for <kind> with each status, on new and kept connections
    Then each caller got a success that looks whole

    Examples:
      | kind      |
      | a lookup  |

  # Guards against: a prompt taken for read, by an answer that is none.
  Scenario: An engine answers the call to read a prompt with a status that is none
    Given an engine whose statuses are foreign reads prompts, and another one
    When callers make a call for a long stream with each status
    Then each caller got a success that looks whole

  # Guards against: the same in calls of the system's own, and at the product's
  # endpoint process.
  Scenario Outline: <reader> takes no status that is none
    Given a server with foreign statuses
    Then a call of <reader> fails within 1 second for each status

    Examples:
      | reader       |
      | the platform |
      | an endpoint  |
