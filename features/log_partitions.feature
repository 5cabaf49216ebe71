Feature: The replicated log under cuts and pauses
  Clients stay connected to the member that is cut off or paused.

  Scenario: A leader that is cut off silently answers nothing stale
    Given a group of three members
    And clients write through every member
    When the leader is cut off silently for 4 seconds
    Then no read on its side was stale
    And the cut leader has stepped down
    And nothing that was sent on its side is in force after its return
    And every acknowledged command is read through every member

  Scenario: A paused leader resumes before it notices
    Given a group of three members
    And clients write through every member
    When the leader is paused for 4 seconds with requests on their way
    Then no read that it answers is stale
    And no stamp that it gives is fresher than its state
    And every acknowledged command is read through every member

  Scenario: A member that is hundreds of entries behind gets a snapshot
    Given a group of three members with small snapshots
    When a follower is cut off while 1500 commands are acknowledged
    Then it holds all of them by a snapshot after its return

  Scenario: A member that returns from a long cut deposes nobody
    Given a group of three members
    When a follower is cut off silently for 4 seconds
    Then the leader and its term are the same after its return
