Feature: A request is explained by the log files alone
  The lines are cut from logs of the processes; a collector may have put a
  prefix before them and mixed them with other lines.

  Scenario Outline: The cause of <outcome>
    Given the log of a request that ended as <outcome>
    When "explain" reads the log
    Then the cause tells of "<cause>"

    Examples:
      | outcome              | cause                                              |
      | overloaded           | predicted after 2155 ms, the objective is 800 ms   |
      | retry-budget         | declined i-2: 421 at 3 ms                          |
      | deadline in a stream | 45 events, the longest pause 345 ms                |
      | deadline in a read   | while i-1 still read the prompt                    |
      | caller gone          | The caller left after 900 ms                       |
      | broken               | broken i-2: the connection was closed at 700 ms    |
      | late read            | reading took 1002 ms, taking over 68 ms            |
      | late pause           | a pause of 581 ms between events, 400 ms allowed   |
      | served after a break | Served after trouble: reader lost                  |
      | 500                  | The back end i-9 answered 500 itself               |
      | unknown-route        | no route at /nowhere/                              |
      | something new        | The line tells no cause                            |

  Scenario: What the entry noted of the same engine is shown
    Given the log of a request that ended as broken
    When "explain" reads the log
    Then it shows that "i-2 excluded for 0.5 s"
    And it shows nothing of other engines, other hosts or other times

  Scenario: Foreign and cut lines are counted and left out
    Given the log of a request that ended as broken
    And 5 lines in it that are cut, foreign or doubled
    When "explain" reads the log
    Then the cause tells of "broken i-2"
    And a note tells of 5 lines

  Scenario: A request that no line tells of
    Given the log of a request that ended as overloaded
    When "explain" reads the log for another request
    Then the command refuses with "not-found"
