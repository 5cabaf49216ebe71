Feature: A booking runs at most once, and "not-run" is true
  The execution file of the fake service is the judge.

  Scenario: A resend after a lost answer gets the recorded one
    Given a ledger system
    And the service is on "delay" for 1 seconds
    When "entry-1" books "a" and its caller leaves after 0.4 seconds
    And "entry-2" books "a"
    And "entry-1" books "a"
    Then the last 2 answers are the same receipt
    And "a" has run 1 times

  Scenario: A key stands for one body
    Given a ledger system
    When "entry-1" books "a"
    And "entry-2" books "a" with another body
    Then the answers are "ran, not-run"
    And the last code is "key-conflict"
    And "a" has run 1 times

  Scenario: The same keys through both entries at once
    Given a ledger system with 2 ledgers
    When 30 keys are each sent 4 times at once through both entries
    Then each key has run once and all its answers are the same receipt

  Scenario: The endpoint process dies while the service runs the booking
    Given a ledger system
    And the service is on "hang" for 0 seconds
    When "entry-1" begins to book "a"
    And "a" is being run
    And "ledger-1" is killed and started again
    And "entry-2" books "a"
    And the service is on "none" for 0 seconds
    And "entry-1" books "a"
    Then the answers are "may-have-run, may-have-run, may-have-run"
    And "a" has run 1 times

  Scenario: An entry is paused between the claim and the dispatch
    Given a ledger system
    When replies of control to "entry-1" are delayed
    And "entry-1" begins to book "a"
    And "a" is claimed
    And "entry-1" is paused
    And "entry-2" books "a"
    And "entry-1" is resumed
    Then the answers are "ran, ran"
    And the last 2 answers are the same receipt
    And "a" has run 1 times

  Scenario: An entry is killed between the claim and the dispatch
    Given a ledger system
    When replies of control to "entry-1" are delayed
    And "entry-1" begins to book "a"
    And "a" is claimed
    And "entry-1" is killed and started again
    And "entry-2" books "a"
    Then the last booking ran
    And "a" has run 1 times

  Scenario: A dispatch that is late by more than the permit's life
    Given a ledger system
    When replies of control to "entry-1" are delayed
    And "entry-1" begins to book "a"
    And "a" is claimed
    And dispatches are held until "a" is answered
    Then the answers are "may-have-run"
    And "a" has run 0 times
    When "entry-2" books "a"
    Then the last booking ran
    And "a" has run 1 times

  Scenario: A refusal for overload is true
    Given a ledger system with room for one booking
    And the service is on "hang" for 0 seconds
    When "entry-1" begins to book "a"
    And "a" is being run
    And "entry-2" books "b"
    And "entry-2" books "a"
    And the service is on "none" for 0 seconds
    Then the answers are "not-run, may-have-run, may-have-run"
    And "b" has run 0 times
    When "entry-1" books "b"
    And "entry-2" books "a"
    Then the last booking ran
    And "a" has run 1 times
    And "b" has run 1 times

  Scenario: The leader is killed while bookings run
    Given a ledger system with 2 ledgers
    When 60 bookings are sent until they ran, and the leader is killed
    Then each key has run once and all its answers are the same receipt

  Scenario: An entry without control cannot say "not-run"
    Given a ledger system
    When "entry-1" is cut off from control
    And "entry-1" books "a"
    Then the answers are "may-have-run"
    And the last code is "control-unreachable"
    When "entry-2" books "a"
    Then "a" has run 1 times

  Scenario: An entry that knows no set cannot say "not-run"
    Given a ledger system
    When "entry-2" books "a"
    And "entry-1" is cut off from control
    And "entry-1" is killed and started without control
    And "entry-1" books "a"
    Then the answers are "ran, may-have-run"
    And the last code is "unknown-route"

  Scenario Outline: The service fails with "<fault>"
    Given a ledger system
    And the service is on "<fault>" for 0 seconds
    When "entry-1" books "a"
    And the service works again
    And "entry-2" books "a"
    And "entry-1" books "a"
    Then the answers are "may-have-run, may-have-run, may-have-run"
    And "a" has run <times> times

    Examples:
      | fault        | times |
      | drop-answer  | 1     |
      | crash-before | 0     |
      | crash-after  | 1     |
