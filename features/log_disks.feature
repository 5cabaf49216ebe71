Feature: The replicated log when disks and processes are lost
  Nothing that was acknowledged vanishes; the group may wait.

  Scenario: All members are killed at once in the middle of writes
    Given a group of three members
    When all members are killed in the middle of writes 3 times
    Then every answered command is true on every member

  Scenario: A damaged record in the middle refuses to start
    Given a group of three members
    When a follower's log is damaged in the middle
    Then the follower refuses to start with code damaged-log
    And the other members still take commands

  Scenario: A full disk is a clear error and no acknowledgement
    Given a group of three members
    When the leader's disk takes no more
    Then the command ends with code storage-failed, which proves nothing
    And the member has stopped with the code in its log
    And every answered command is true on every member

  Scenario: A lost disk is repaired when its new voter is committed
    Given a group of three members
    When a follower loses its disk and cannot catch up
    Then it is a learner and losing a second host is not safe
    When it can catch up
    Then it is a voter and losing a second host is safe
    When the leader loses its disk, too
    Then every answered command is true on every member

  Scenario: A second host is lost before the first has caught up
    Given a group of three members
    When a follower loses its disk and cannot catch up
    And the leader is killed
    Then the group takes no command and no read
    When the leader is started again and all links pass
    Then every answered command is true on every member

  Scenario: Two lost disks of three form no second group
    Given a group of three members
    When two members lose their disks at once
    Then the new identities belong to no group and take no command

  Scenario: An old copy of a disk that is put back is refused
    Given a group of three members
    When a follower's disk is replaced by a copy of its past
    Then the follower refuses to start with code old-data-folder

  Scenario: Operators take a control host out and let it join again
    Given a group of three members
    When a follower is removed through another member
    Then it stays out while it runs
    And the other members still take commands
    When it is added again through another member
    Then it is a voter and losing a second host is safe
    And every answered command is true on every member

  Scenario: A removal that would leave no quorum is refused
    Given a group of three members
    When a follower is killed
    Then removing the other follower is refused with code members-refused
