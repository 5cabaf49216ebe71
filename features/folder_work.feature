Feature: A data folder that is opened again in the same process

  # Guards against a process that ends by itself, as a try to open the folder that
  # failed keeps the lock from the next one.
  Scenario: A folder that could not be recovered is not locked for the next try
    Given a data folder whose log is older than its snapshot
    When a replica is opened while the disk refuses to remove the log
    Then opening it was refused with "storage-failed"
    And the next try opens the folder

  # Guards against a write of a former replica that hangs on a stalled disk and
  # changes files under the one that has opened the folder since.
  Scenario: A folder stays locked while a write to it hangs
    Given a replica whose vote hangs on the disk
    When the replica stops
    Then the folder cannot be opened, and no further write begins
    When the disk goes on
    Then the folder opens with the vote that was written

  # Guards against a stop that counts as a failure, after which the process would
  # open its folder again and not end.
  Scenario: A vote that is asked for after a planned stop is no failure
    Given a replica that has stopped as planned
    When a vote is stored
    Then storing it was refused with "storage-failed"
    And the replica has not failed

  # Guards against records that are acknowledged from the page cache: the disk does
  # not have what a failed sync has dropped, and a later sync says nothing of it.
  Scenario Outline: What a failed sync has dropped is written again before it counts
    Given a disk that drops what a failed sync should have written
    When the sync of batch <batch> fails, and the log is opened again
    And the power is lost
    Then the log has all that counted as durable before

    Examples:
      | batch |
      | 1     |
      | 3     |
      | 6     |

  # Guards against files that a failed write leaves behind and that fill the disk.
  Scenario: Drafts of files that were never finished are removed
    Given a data folder with drafts of a vote and of snapshots
    When a replica is opened
    Then no draft is left in the folder
