Feature: An accepted set is in force everywhere within seconds, never reverts

  Background:
    Given a ledger system whose nodes are stale after 4 seconds

  Scenario: A version is accepted once, as the next one
    When set "a" is published as version 2
    And set "b" is published as version 2
    And set "b" is published as version 9
    Then the exit codes are "0, 1, 1"
    And the program said "version 2 was published by"
    And the program said "does not follow"
    And version 2 with set "a" is in force

  Scenario: Two operators race for a version through different control hosts
    When 4 versions are raced for by 2 operators that each send 3 times
    Then each version has one winner, who always hears "accepted"

  Scenario: The answer of a publication is lost
    When a connected operator publishes set "a" as version 2
    But the answer of "control-1" is lost
    Then it hears "accepted" from another control host
    And version 2 was published once

  Scenario: A late resend of an accepted version does not revert
    When set "a" is published as version 2
    And set "b" is published as version 3
    And set "a" is published as version 2
    Then the exit codes are "0, 0, 0"
    And version 3 with set "b" is in force

  Scenario: In force on every node, or it is said which node is behind
    When "entry-2" is suspended
    And set "a" is published and waited for 2 seconds
    Then the exit codes are "5"
    And the program said "not in force on entry-2"
    When "entry-2" is resumed after the wait
    And set "b" is published and waited for 10 seconds
    Then the exit codes are "5, 0"

  # Guards against "in force on 0 of 0 nodes" from a control host that has just
  # started and heard of no node yet.
  Scenario: A control host that has just started waits for the reports of others
    Given the table of nodes of a control host that has just started
    When another control host tells of a node 1.5 seconds later
    Then a query for the nodes that was made before tells of it

  Scenario: A node cut off from control refuses new work, and comes back
    When "entry-1" loses control until it is not ready
    Then lookups through "entry-1" are refused with "stale-node" as "not-run"
    When "entry-1" reaches control again
    Then "entry-1" becomes ready and serves lookups

  Scenario: A node cut off from control hears of a newer set through permits
    Given a ledger system whose nodes are stale after 30 seconds
    When "entry-1" loses control
    And set "a" is published as version 2
    And a lookup is sent through "entry-1"
    Then "entry-1" has version 2 in force while it is cut off

  Scenario: A lagging control host does not bring back an older set
    Given a ledger system whose "entry-2" uses only "control-1"
    When set "a" is published as version 2
    And "control-1" is cut off from the other control hosts
    And set "b" is published as version 3 through the others
    And "entry-2" is killed and started
    Then "entry-2" is not ready for 5 seconds
    When "control-1" reaches the other control hosts again
    Then "entry-2" is first ready with version 3

  Scenario: Restarts of every process bring back what was in force
    When set "a" is published as version 2
    And set "b" is published as version 3
    And every process is killed and started
    Then "entry-2" is first ready with version 3
    And version 3 with set "b" is in force
