Feature: A leader that stops waits for nobody who is leaving, too
  The members here are servers within the test: what each does is exact.

  Scenario: The voter that was asked to lead ends before its election
    Given a leader whose voters accept the handover and end
    When the leader hands over
    Then it asked 2 voters and took less than 150 ms

  Scenario: A voter that is stopping declines to lead
    Given a voter that is stopping
    When it is asked to lead
    Then it declines and starts no election
