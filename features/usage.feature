Feature: The usage of customers is counted once and reported by one host

  # Guards against: counts that are added twice when a message comes again or a
  # new leader is told, and those of a killed entry that are lost.
  Scenario: What entries tell is summed once
    Given two entries that report to a leader
    When 3 requests of ana and 2 of bo begin at entry 1, and 4 of ana at entry 2
    Then the leader counts 7 of ana and 2 of bo
    When entry 1 tells all of it again
    Then the leader counts 7 of ana and 2 of bo
    When entry 1 is killed, and 1 request of bo begins at its next process
    Then the leader counts 7 of ana and 3 of bo
    When another host leads, and both entries tell it what they have
    Then the leader counts 4 of ana and 1 of bo

  # Guards against: windows cut by clocks that are wrong.
  Scenario: Two wrong clocks of five do not move the time
    Given the clocks of a leader and four entries, of which two are 6 s wrong
    Then the agreed time is right to 50 ms at the leader and at each entry

  # Guards against: an entry's time that falls back with a message held up.
  Scenario: A time that was told late does not move an entry's clock
    Given an entry that was told the time
    When it is told a time that is 3 s old
    Then its clock is still right to 50 ms

  # Guards against: a call of a leader that may not act yet, or not any more.
  Scenario Outline: Who reports
    Given a host that <leads>, and a window that has ended
    When it looks after the duty
    Then it has reported <windows> windows

    Examples:
      | leads                                             | windows |
      | leads the first term                              | 1       |
      | follows                                           | 0       |
      | has led for 3.4 s after another host              | 0       |
      | has led for 3.6 s after another host              | 1       |
      | leads, but is not confirmed before the call       | 0       |
      | leads, but is not confirmed before the record     | 0       |

  # Guards against: another figure for a window that was told to the platform.
  Scenario: A successor reports what its predecessor recorded
    Given a host that leads the first term, and a window that has ended
    When the platform does not answer, and the host looks after the duty
    And another host with other counts looks after the duty
    Then both reports are the same but for their holder and number

  # Guards against: a window that is reported again and again, or given up.
  Scenario: A report is repeated until it is accepted, and then no more
    Given a host that leads the first term, and a window that has ended
    When the platform does not answer, and the host looks after the duty
    And it looks after the duty 3 times
    Then it has reported 2 windows
    And no window waits

  # Guards against: calls with a number that the platform has seen overtaken.
  Scenario: An overtaken holder stays silent until it leads a new term
    Given a host that leads the first term, and a window that has ended
    When the platform answers that it is overtaken, and the host looks after the duty
    And it looks after the duty 3 times
    Then it has reported 1 windows
    When it has led a new term for long
    And it looks after the duty 1 times
    Then it has reported 2 windows

  # Guards against: a record of windows that one wrong clock has invented.
  Scenario: Without an entry nothing is recorded
    Given a host that leads the first term, and a window that has ended
    When its last entry is gone
    And it looks after the duty 2 times
    Then it has reported 0 windows

  # Guards against: a state that grows while the platform takes no reports.
  Scenario: Windows that nobody takes are given up, the oldest first
    When 800 windows are recorded and none is accepted
    Then the last 720 wait, also in a copy of the state

  # Guards against: a protocol that only works in the orders that tests try.
  Scenario: The duty keeps its rules in every order of steps
    When the duty model explores the protocol
    Then it breaks no rule in more than 100000 states

  Scenario Outline: A duty without one of its rules is found
    When the duty model explores the variant "<variant>"
    Then it finds "<violation>"

    Examples:
      | variant      | violation                           |
      | unrecorded   | two figures for a window            |
      | record-again | two figures for a window            |
      | unconfirmed  | a lower number after a higher one   |
      | no-wait      | a lower number after a higher one   |
      | one-number   | two holders with one number         |

  # Guards against: reports that miss requests, or come twice with two figures,
  # when the host that reports is killed.
  Scenario: Usage is reported once through the loss of a leader
    Given a platform that takes reports of usage every second
    When document 3 is published with the key "key-1" of ana
    And 20 calls with the key "key-1" are served
    And the control host that reports is killed
    And 20 calls with the key "key-1" are served
    Then the platform has been told of 40 requests of ana in all
    And no window has two figures, and the numbers of the holders only grow
