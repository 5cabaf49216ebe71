Feature: What still runs at the end of a planned stop gets an answer

  # Guards against requests that are taken during a planned stop and cut at its end
  # without an answer, among them such as may not be repeated.
  Scenario: A request that runs past the drain is answered by the entry
    Given a platform with 5 control hosts, 2 entries, 2 services and 3 engines
    When document 3 with time limits of 20 seconds is published at "core-1"
    Then every entry is ready within its bound
    When these calls run, and "front-1" is stopped as planned: "/book/mute, /look/mute, /book/mute"
    Then each gets 502 with the code "answer-incomplete" and its id, and one end of its connection
    And "front-1" was gone by itself between 6.7 s and 8 s after the signal

  # Guards against a stream whose early end looks like its true one.
  Scenario: A stream that runs past the drain is broken off
    Given a platform with 5 control hosts, 2 entries, 2 services and 3 engines
    When document 3 with time limits of 20 seconds is published at "core-1"
    Then every entry is ready within its bound
    When these calls run, and "front-1" is stopped as planned: "/grade/crawl"
    Then each has got 200 and no end
    And "front-1" was gone by itself between 6.7 s and 8 s after the signal

  # Guards against a request that comes late in the grace, by a slow body, is passed
  # on and cut.
  Scenario Outline: A body that is whole late in the drain is <outcome>
    Given a platform with 5 control hosts, 2 entries, 2 services and 3 engines
    When document 3 with time limits of 4 seconds is published at "core-1"
    Then every entry is ready within its bound
    When "front-1" is stopped while a body of "<path>" arrives, the rest after <seconds> s
    Then it gets <status>, and it has run <runs> times

    Examples:
      | path        | seconds | status | runs | outcome                             |
      | /book/plain | 2       | 200    | 1    | served if there is time             |
      | /book/plain | 5       | 503    | 0    | refused if it may not be done       |
      | /look/plain | 3.2     | 200    | 1    | served if it usually is done        |
      | /look/plain | 6.6     | 503    | 0    | refused shortly before the end      |
      | /book/plain | 30      | 503    | 0    | refused if it is not whole by then  |

  # Guards against an answer of the server without an id, a code or a verdict, or a
  # record of "not run", for what still runs when the product's own entry ends.
  Scenario Outline: <what> that runs past the drain of the product's own entry
    Given the product's own entry, where <what> never ends
    When it is asked for <what> and stops as planned
    Then the caller <gets>
    And the record says "may-have-run" and "answer-incomplete"
    And the entry has drained in time

    Examples:
      | what         | gets                                            |
      | a completion | gets 502 with the verdict and its id            |
      | a stream     | gets 200 and no end                             |
      | a stubborn completion | gets 502 with the verdict and its id   |
