Feature: The log's files tell a torn write from damage
  One member's parts run inside the test, without a group.

  Scenario: Damage before the last batch refuses to start, at any byte
    Given a log of several batches in several segments
    Then a changed byte anywhere before the last batch is damage
    And a log cut anywhere in its last batch keeps all before it

  Scenario: An emptied segment in the middle is damage
    Given a log of several batches in several segments
    When the first segment is emptied
    Then the log refuses to open

  Scenario: What a killed process wrote is synced before it is counted
    Given a log of several batches in several segments
    When the log is opened with a recorded sync
    Then its last segment was synced

  Scenario: Nothing counts as durable before its sync has ended
    Given a log whose syncs take a while
    When a batch is written
    Then its sync had ended

  Scenario: A full disk fails the member and acknowledges nothing
    Given a log whose writes fail after the first batch
    When another batch is appended
    Then waiting for it raises storage-failed
    And after a restart the first batch is there

  # Guards against a writer that ends unnoticed: the process runs on, and nothing
  # is ever durable again.
  Scenario: A writer that fails in an unknown way fails the member
    Given a log whose writes fail in an unknown way after the first batch
    When another batch is appended
    Then waiting for it raises storage-failed

  Scenario: Entries of a deposed leader do not follow a truncation
    Given a follower with an entry of an earlier term
    When a later term begins while a conflict is truncated
    Then no entry of the deposed leader was appended

  Scenario: Parts of two snapshots are not mixed
    Given a follower with an entry of an earlier term
    When a part of an older snapshot arrives between two parts
    Then the member holds the newer snapshot

  Scenario: The member set is known while a snapshot replaces the log
    Given a follower with an entry of an earlier term
    When the snapshot is installed on a slow disk
    Then the member set was known all the time

  Scenario: A leader whose applied state lags gives no fresh stamp
    Given a leader whose peers answer while it has not applied
    Then its state is as old as what it applied

  Scenario Outline: A damaged <name> file refuses to start, at any byte
    Given a data folder with a vote and a snapshot
    Then a changed byte or a cut anywhere in the <name> file is damage

    Examples:
      | name     |
      | vote     |
      | snapshot |

  Scenario: Malformed requests of a peer change nothing
    Given a follower with an entry of an earlier term
    Then malformed entries and snapshots change nothing
    And a changed peer frame is a message or malformed, and nothing else
