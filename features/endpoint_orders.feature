Feature: Engine orders
  An engine gets one order at a time and only from the control state. Running
  work ends before an order begins, and an order that is lost half-way is
  ended by the log. The engines here ignore fencing numbers, and their own
  records are the judge.

  Scenario: A role change cuts nothing
    Given a fleet of 2 engines with "--no-fencing --order-seconds=0.5"
    When 6 answers of 150 tokens are streamed
    And the busiest engine is ordered to become "decode"
    And 4 answers of 20 tokens are streamed
    Then every answer is whole
    And its order is done and it has the role "decode"
    And every endpoint serves again
    And no engine had a conflict or a cut request

  Scenario Outline: An order is ended by the log after <fault>
    Given a fleet of 2 engines with "--no-fencing --order-seconds=1.5"
    When the engine of "reader-1" is ordered to become "decode"
    And in the middle of it comes <fault>
    Then the order of "reader-1" is "<end>"
    And a later order to become "prefill" is done
    And "reader-1" serves again
    And no engine had a conflict or a cut request

    Examples:
      | fault                                | end    |
      | a crash of the endpoint process      | done   |
      | a pause of the endpoint process      | done   |
      | a crash of the engine                | failed |
      | the loss of the leader               | done   |
      | a crash of both processes            | failed |
      | a crash of the endpoint and leader   | done   |

  Scenario: A process that lost its authority orders nothing
    Given a fleet of 1 engine with "--no-fencing --order-seconds=0.5"
    When 1 answer of 200 tokens is streamed
    And the engine of "reader-1" is ordered to become "decode"
    And the process of "reader-1" is paused before it sends the order
    And another process takes its place
    Then the order of "reader-1" is "failed"
    And a later order to become "prefill" is done
    And the paused process resumes and sends no order
    And no engine had a conflict or a cut request
