Feature: The replicated log in randomised runs
  Clients raise registers, append to lists and read through every member
  while members are killed, stopped, paused, cut off and lose their disks.

  Scenario Outline: A correct log allows what the clients of a seed saw
    When clients and faults of seed <seed> run for 8 seconds
    Then faults came and commands were acknowledged
    And a correct log allows all that the clients saw

    Examples:
      | seed |
      | 3    |
      | 21   |
      | 47   |

  Scenario: The check finds what a correct log never answers
    Given a history that a correct log allows
    Then a lost write, a stale read and an invented value are found
    And a refused value, a lost item and a forked list are found
    And an index that goes back is found
