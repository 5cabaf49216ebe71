Feature: A data folder that is opened again in the same process

  # Guards against a process that ends by itself, as a try to open the folder that
  # failed keeps the lock from the next one.
  Scenario: A folder that could not be recovered is not locked for the next try
    Given a data folder whose log is older than its snapshot
    When a replica is opened while the disk refuses to remove the log
    Then opening it was refused with "storage-failed"
    And the next try opens the folder
