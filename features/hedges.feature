Feature: A request that may be repeated is sent again while its first send is late

  # Guards against: a second send that does not cut a slow answer, or leaves the
  # first one at work.
  Scenario: The answer of the second back end comes, and the first send ends
    Given an entry that may send 0.1 of its requests twice, and a slow back end
    When a call that may be repeated is made
    Then it is answered within 400 ms by the other back end
    And 1 second send was made
    And the slow back end sees the connection of its send end

  # Guards against: a call that runs twice though it must not, extra work without
  # the operator's word, and more runs than the route allows.
  Scenario Outline: Calls that are sent once
    Given an entry that may send <share> of its requests twice, and a slow back end
    When a call that <kind> is made
    Then it is answered by the slow back end
    And 0 second sends were made

    Examples:
      | share | kind                                     |
      | 0.1   | must not be repeated                     |
      | 0     | may be repeated                          |
      | 0.1   | may be repeated but has one attempt      |
      | 0.1   | may be repeated without retries left     |
      | 0.1   | may be repeated with one back end        |

  # Guards against: a storm of second sends when all back ends turn slow.
  Scenario: Second sends stay within the share when every answer is late
    Given an entry that may send 0.05 of its requests twice, and a slow back end
    When 200 late calls ask for a second send
    Then at most 11 of them get one

  # Guards against: a fixed wait, which is wrong for services of another speed.
  Scenario Outline: The wait is learned from the answers
    Given an entry that may send 0.1 of its requests twice, and a slow back end
    When 100 answers have come, each a <step> ms later than the one before
    Then a second send waits for <wait> ms

    Examples:
      | step | wait |
      | 1    | 91   |
      | 10   | 910  |

  # Guards against: an answer that is lost because the second send failed.
  Scenario Outline: The second send ends badly
    Given an entry that may send 0.1 of its requests twice, and a slow back end
    And the other back end <fails>
    When a call that may be repeated is made
    Then it is answered by the slow back end

    Examples:
      | fails                |
      | declines             |
      | answers 500          |
      | resets the connection |

  # Guards against: a request that allows more second sends each time it is sent
  # again after a decline, which exceeds the operator's share.
  Scenario: A request that is declined and sent again counts once
    Given an entry that may send 0.1 of its requests twice, and a slow back end
    And both back ends decline
    When a call that may be repeated is made
    Then the second sends that are left have grown by 0.1
