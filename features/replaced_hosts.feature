Feature: Disks that are lost while a control host is replaced
  Five voters are wanted. While one is replaced there are six, and the one that
  is gone may still count.

  # Guards against: an acknowledged command that is read nowhere for good, since
  # two disks were lost before the group knew which of six voters was gone.
  Scenario Outline: Two disks are lost just after a replaced voter <ended>
    Given five voters and a successor that votes, too
    When a replaced voter <ended>
    And a command is acknowledged
    And two other voters lose their disks, and <others>
    Then the command is read at every host that is left
    And these five are the voters again

    Examples:
      | ended      | others             |
      | is killed  | the others stay up |
      | is stopped | the others stay up |
      | is killed  | the others restart |

  # Guards against: a voter that is dark, with its disk, and is removed in place
  # of the one that is gone, so that two lost disks leave no quorum.
  Scenario Outline: A voter is dark while <which> is replaced, and two disks are lost
    Given five voters
    When voter <dark> is killed
    And a replaced voter is killed, and its successor votes
    And a command is acknowledged
    And voter <dark> is back once <lost> have lost their disks
    Then the command is read at every host that is left
    And these five are the voters again

    Examples:
      | which       | dark | lost    |
      | another one | 4    | 1 and 2 |
      | a later one | 1    | 2 and 4 |

  # Guards against: a group that a planned restart of each host stops, while
  # there is a voter more than wanted.
  Scenario: Every host restarts while a replaced voter is gone
    Given five voters and a successor that votes, too
    When a replaced voter is killed
    And each host that is left restarts as planned, one after another
    Then every command meanwhile is acknowledged and read
    And these five are the voters again
