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
