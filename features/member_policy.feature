Feature: Voters that are gone are removed, and no others

  # Guards against: a replaced voter that still counts when disks are lost, so
  # that no quorum is left for good.
  Scenario: A voter whose successor votes is removed as soon as enough others are current
    Given 6 voters of which 5 are wanted, led for 1.2 s
    When voter 1 has been silent for 1.2 s
    Then voter 1 is removed with its host

  # Guards against: members that come and go with every short silence.
  Scenario: A voter that was silent for less than a second stays
    Given 6 voters of which 5 are wanted, led for 60 s
    When voter 1 has been silent for 0.9 s
    Then no member is changed

  # Guards against: the same as the first, after the leader changed.
  Scenario: A leader that is new waits until the others have answered it
    Given 6 voters of which 5 are wanted, led for 0.4 s
    When voter 1 has been silent for 60 s
    Then no member is changed

  # Guards against: a voter that is dark, with its disk, and removed in place of
  # the one that is gone, so that no quorum is left when two disks are lost.
  Scenario Outline: Of two silent voters none is removed, <which>
    Given 6 voters of which 5 are wanted, led for 60 s
    When voter 1 has been silent for <first> s
    And voter 2 has been silent for <second> s
    Then no member is changed

    Examples:
      | which                              | first | second |
      | at once                            | 2     | 2.5    |
      | though one is silent for longer    | 6     | 7      |
      | if both are as silent              | 6     | 6      |
      | however long they are              | 50    | 600    |
      | though one was heard of 1 s before | 3.1   | 2.1    |

  # Guards against: a surplus that stays once it is known who is gone.
  Scenario: The one that is still silent is removed when the other is back
    Given 6 voters of which 5 are wanted, led for 60 s
    When voter 1 has been silent for 6 s
    And voter 2 has been silent for 7 s
    But voter 1 is back
    Then voter 2 is removed with its host

  # Guards against: a voter that is gone and gets its time anew with each leader.
  Scenario: A leader that is new goes by what the one before it knew
    Given 7 voters of which 5 are wanted, led for 1.2 s
    When the leader before it had not heard of voter 1 for 3.5 s
    And it fell silent itself 2 s ago as voter 2
    Then voter 1 is removed with its host

  # Guards against: a voter that went dark before an election and goes before the
  # leader that is gone for longer.
  Scenario: A voter that has just gone dark is not taken for the leader that is gone
    Given 7 voters of which 5 are wanted, led for 2.4 s
    When it fell silent itself 3.1 s ago as voter 2
    And voter 1, which it had heard of, did not answer the election
    Then voter 2 is removed with its host

  # Guards against: the same, where this knowledge is handed on.
  Scenario: Followers learn from each heartbeat who is silent, and who no longer
    Given 6 voters of which 5 are wanted, led for 60 s
    When voter 1 has been silent for 3.5 s
    Then the heartbeats say so, and the next leader counts from there
    And a voter that answered the leader before it counts as heard of

  # Guards against: a removal that counts on a voter which still lacks entries.
  Scenario: A successor that has not the log yet does not stand in
    Given 6 voters of which 5 are wanted, led for 60 s
    When voter 1 has been silent for 2 s
    And voter 6 lacks the last member set
    Then no member is changed

  # Guards against: fewer voters than wanted.
  Scenario: A voter that is wanted stays, however long it is silent
    Given 5 voters of which 5 are wanted, led for 600 s
    When voter 1 has been silent for 500 s
    Then no member is changed

  # Guards against: a host that came back with an empty disk and may never vote.
  Scenario: A host that is back with a new identity stays listed
    Given 6 voters of which 5 are wanted, led for 60 s
    When voter 1 has been silent for 6 s
    And the host of voter 1 announces another identity
    Then voter 1 is removed, but not its host
