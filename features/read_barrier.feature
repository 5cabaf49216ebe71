Feature: Linearizable reads while the leader changes
  A read asks again, with a fresh round each time, until its own time is up.

  Scenario: No leader is known when a read arrives at a follower
    Given a follower that knows no leader
    When a read of 900 ms arrives, and after 50 ms another member leads
    Then the read returned the read index of that leader
    And it took less than 300 ms

  Scenario: A leader loses its term while it confirms a read
    Given a leader whose peers do not answer
    When a read of 900 ms arrives, and after 50 ms another member leads
    Then the read returned the read index of that leader
    And it took less than 300 ms

  Scenario: The leader that a read was sent to answers nothing
    Given a follower of a leader that answers nothing
    When a read of 1800 ms arrives, and after 50 ms another member leads
    Then the read returned the read index of that leader
    And it took less than 1300 ms

  Scenario: A member that is cut off refuses a read within its time
    Given a follower that knows no leader
    When a read of 400 ms arrives and no member leads
    Then the read was refused with "no-quorum"
    And it took from 350 to 600 ms

  Scenario: A member that stops refuses a read at once
    Given a follower that knows no leader
    When a read of 900 ms arrives, and after 150 ms the member stops
    Then the read was refused with "no-quorum"
    And it took less than 300 ms

  # Guards against: a leader that is deposed right after its election by a member
  # whose pre-vote was under way, as when all hosts start again at once; nothing
  # was served for another election.
  Scenario Outline: A member that hears of <news> during its pre-vote gives up
    Given a follower that knows no leader
    When it wins a pre-vote, and hears of <news> meanwhile
    Then it is a follower of that term and has voted for nobody

    Examples:
      | news         |
      | a new leader |
      | a new term   |
