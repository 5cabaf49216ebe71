Feature: Quorums while a host is replaced and disks are lost
  A majority of the voters is a quorum. With one voter more than wanted, and as
  many proven losses as the wanted ones bear, half of the voters are one, too.

  # Guards against: an acknowledged command that is read nowhere, as the voters
  # left are no majority; and against two groups that both go on.
  Scenario Outline: <matter>
    Given voters <voters> of which <wanted> are wanted, <committed>, after voters <before>
    Then members <members> are <outcome> while <lost> are proven lost

    Examples: Majorities
      | matter                               | voters | wanted | committed   | before | members | outcome    | lost |
      | Three of five                        | 12345  | 5      | committed   | 12345  | 123     | a quorum   | -    |
      | Two of five                          | 12345  | 5      | committed   | 12345  | 12      | no quorum  | 345  |
      | Four of six                          | 123456 | 5      | uncommitted | 12345  | 1236    | a quorum   | -    |
      | A learner does not count             | 12345  | 5      | committed   | 12345  | 126     | no quorum  | -    |
      | Without a number of voters to keep   | 1234   | 0      | committed   | 1234   | 34      | no quorum  | 1    |

    Examples: Halves
      | matter                               | voters | wanted | committed   | before | members | outcome    | lost |
      | Three of six, two lost               | 123456 | 5      | committed   | 123456 | 346     | a quorum   | 12   |
      | Three of six, one of them lost       | 123456 | 5      | committed   | 123456 | 146     | no quorum  | 12   |
      | Three of six, one lost               | 123456 | 5      | committed   | 123456 | 346     | no quorum  | 1    |
      | Three of six, three lost             | 123456 | 5      | committed   | 123456 | 346     | no quorum  | 125  |
      | Three of six, another one lost       | 123456 | 5      | committed   | 123456 | 346     | no quorum  | 17   |
      | Three of six, before that is settled | 123456 | 5      | uncommitted | 12345  | 346     | no quorum  | 12   |
      | Two of four, one lost                | 1234   | 3      | committed   | 1234   | 24      | a quorum   | 1    |
      | Two of five, two lost                | 12345  | 5      | committed   | 12345  | 34      | no quorum  | 12   |
      | Three of six of which four are kept  | 123456 | 4      | committed   | 123456 | 346     | no quorum  | 12   |

    Examples: Changes away from an even number
      | matter                                | voters  | wanted | committed   | before | members | outcome   | lost |
      | Three of five, and of the six before  | 12346   | 5      | uncommitted | 123456 | 123     | no quorum | -    |
      | Three of five, four of the six before | 12346   | 5      | uncommitted | 123456 | 1236    | a quorum  | -    |
      | Three of five, half of the six before | 12346   | 5      | uncommitted | 123456 | 346     | a quorum  | 12   |
      | Three of five, once that is settled   | 12346   | 5      | committed   | 123456 | 123     | a quorum  | -    |
      | Four of seven, and of the six before  | 1234567 | 5      | uncommitted | 123456 | 1237    | no quorum | -    |

  # Guards against: two leaders that both commit, and a leader without what was
  # acknowledged, in any order of elections, changes and losses.
  Scenario: No order of steps breaks the rule
    When the quorum model takes 1200 walks from seed 7
    Then it breaks no promise

  # Guards against: a model that would not notice.
  Scenario Outline: A rule without one of its conditions is found
    When the quorum model takes the walk "<seed>" with the rule "<variant>"
    Then that walk ends with "<violation>"
    And the rule in use passes the same walk

    Examples:
      | variant                | seed      | violation                          |
      | majority-of-the-rest   | 1 14876 3 | two leaders in one term            |
      | majority-of-the-rest   | 1 11270 5 | a leader without a committed entry |
      | votes-of-lost-members  | 1 3325 3  | two leaders in one term            |
      | votes-of-lost-members  | 1 529 3   | a leader without a committed entry |
      | fewer-lost-members     | 1 1264 5  | two leaders in one term            |
      | fewer-lost-members     | 1 2502 3  | two entries committed at one index |
      | uncommitted-sets       | 1 14876 3 | two leaders in one term            |
      | without-the-set-before | 1 7306 3  | a leader without a committed entry |
