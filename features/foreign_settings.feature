Feature: A settings file that changes to one that cannot be used

  # Guards against: an odd settings file ends the task that watches it, so that
  # no later change is taken over.
  Scenario Outline: An odd settings file leaves the settings as they were
    Given a process that watches its settings file
    When the file changes to <odd>
    Then the settings stay as they were
    When the file changes to a sound one
    Then the sound one is taken over

    Examples:
      | odd                  |
      | nothing              |
      | half of it           |
      | nested arrays        |
      | no ports             |
      | a port of 70000      |
      | a seed without port  |
      | a grace of 300 digits |
      | a name with a slash  |
      | bytes that are no UTF-8 |

  # Guards against: a settings file that is being written when a process starts
  # ends the process.
  Scenario: A process whose settings file is odd at its start waits for another
    Given an odd settings file
    When a process starts and the file is mended later
    Then the process goes on with the mended file
