Feature: Withdrawal and planned stops
  Work moves away from hosts that the platform or an operator withdraws, and a
  planned stop cuts no request. The engines' own records are the judge.

  Scenario: A host that is withdrawn gets no new work
    Given a Medena system of 2 readers under steady calls
    When the platform lists "reader-1" as leaving
    Then "reader-1" gets no new work from 3 seconds on, for 2 seconds
    When the platform lists "reader-1" as live
    Then "reader-1" gets work again
    When the operator withdraws "reader-1"
    And the platform lists "reader-1" as live
    And the process of "reader-1" is killed and started again
    Then "reader-1" gets no new work from 3 seconds on, for 4 seconds
    When the operator restores "reader-1"
    Then "reader-1" gets work again
    And no call was cut or refused
    And "explain" of "reader-1" tells of "withdrawn, restored"

  Scenario: Planned stops and publications under load cut nothing
    Given a Medena system of 3 readers and 2 desks under steady calls
    When sets are published 3 times
    And these stop as planned and start again: "reader-1"
    And these stop as planned and start again: "entry-1"
    And these stop as planned and start again: "desk-1, entry-2"
    And these stop as planned and start again: "control-1, entry-1"
    And these stop as planned and start again: "control-2, reader-2"
    Then no call was cut or refused
    And no booking ran twice
    And no answer was continued on another engine

  Scenario: A withdrawal in the middle of the drain for a role change
    Given a fleet of 2 engines with "--no-fencing --order-seconds=0.5"
    When 6 answers of 600 tokens are streamed
    And the busiest engine is ordered to become "decode"
    And the operator withdraws it before its work has ended
    Then every answer is whole
    And its order is "failed" and it keeps the role "mixed"
    When the operator restores it
    Then every endpoint serves again
    And no engine has begun a role change
