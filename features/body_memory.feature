Feature: Bodies of callers' requests take a bounded part of an entry's memory

  # Guards against a burst of large uploads that ends the process for its memory.
  Scenario Outline: Without room for its body a request is refused at once
    Given an entry with room for 3 bodies of 1 MB
    When 5 callers begin bodies of 1 MB, <framing>
    Then 2 of them are refused with a time to come back
    When the others send the rest
    Then these get their answers, and no room is taken any more

    Examples:
      | framing        |
      | with a length  |
      | in chunks      |

  # Guards against callers that are told to come back with what never fits.
  Scenario: A body that never has room is refused for its size
    Given an entry with room for 3 bodies of 1 MB
    When a caller announces a body of 4 MB
    Then it is answered 413 as too large

  # Guards against a body in tiny chunks that keeps all others waiting.
  Scenario: Others are served while a body in tiny chunks arrives
    Given an entry with room for 3 bodies of 1 MB
    When a caller sends 200 KB in chunks of a byte
    Then a greenlet that wakes each 10 ms never waits for over 0.2 seconds
