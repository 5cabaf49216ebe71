Feature: A control host without a vote relays
  It has the log and serves nodes, and no quorum waits for it.

  Scenario: Nodes that know only a relay get their sets and commit claims
    Given a Medena system whose nodes know only a control host without a vote
    When 20 callers ask for lot verdicts at the same time
    And a trader reserves lot 7 with key "relayed"
    Then every verdict is "ran"
    And the relay has no vote and losing one more host is safe

  Scenario: A relay counts for no quorum
    Given a Medena system whose nodes know only a control host without a vote
    When the relay and a voter are killed
    Then an operator's command is accepted
    When the relay runs again and another voter is killed
    Then an operator's command is not accepted
