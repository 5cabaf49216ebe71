Feature: The first start of the control hosts
  Three seeds form the group once all of them are known to be empty.

  # Guards against a disk lost during the first start, after which no group formed.
  Scenario Outline: A first start with <matter>
    Given a first start at which the seeds are "<first>", "<second>" and "<third>"
    When seed <seed> hears them in <rounds> rounds
    Then it has formed the group <times> times

    Examples:
      | matter                          | first    | second   | third    | seed | rounds | times |
      | three empty disks               | original | original | original | 1    | 1      | 1     |
      | three empty disks, another seed | original | original | original | 2    | 3      | 0     |
      | a lost disk                     | original | lost     | original | 1    | 2      | 1     |
      | a lost disk, first round        | original | lost     | original | 1    | 1      | 0     |
      | the first disk lost             | lost     | original | original | 2    | 2      | 1     |
      | the first disk lost, by it      | lost     | original | original | 1    | 3      | 0     |
      | the first disk lost, by another | lost     | original | original | 3    | 3      | 0     |

  # Guards against a second group of seeds whose disks were lost.
  Scenario Outline: No group forms with <matter>
    Given a first start at which the seeds are "<first>", "<second>" and "<third>"
    When seed <seed> hears them in 3 rounds
    Then it has formed the group 0 times

    Examples:
      | matter                         | first    | second   | third    | seed |
      | two lost disks                 | original | lost     | lost     | 1    |
      | three lost disks               | lost     | lost     | lost     | 1    |
      | a member                       | original | original | member   | 1    |
      | a lost disk and a member       | lost     | original | member   | 2    |
      | a seed that does not answer    | original | original | silent   | 1    |
      | a disk that is lost each round | original | original | changing | 1    |

  # Guards against two disks lost during the first start, after which no group formed.
  Scenario Outline: Two of three seeds are lost, and <matter>
    Given a first start at which the seeds are "<first>", "lost" and "lost"
    And 5 voters are wanted, and the other hosts are <others>
    When seed 1 hears them in <rounds> rounds
    Then it has formed the group <times> times
    And a group that it has formed begins above all terms of a lost one

    Examples:
      | matter                                   | first    | others                       | rounds | times |
      | a majority of all holds nothing          | original | original, original           | 2      | 1     |
      | that is heard for the first time         | original | original, original           | 1      | 0     |
      | one of the others does not answer        | original | original, silent             | 3      | 0     |
      | one of the others is lost, too           | original | original, lost               | 3      | 0     |
      | one of the others is a member            | original | original, member             | 3      | 0     |
      | one of the others changes                | original | original, changing           | 3      | 0     |
      | there are more hosts than wanted voters  | original | original, original, original | 3      | 0     |
      | one more is known that does not answer   | original | original, original, silent   | 3      | 0     |
      | the third is, too                        | lost     | original, original           | 3      | 0     |

  # Guards against a kill during the first start, which counted as a lost disk.
  Scenario: A seed that was killed remembers that it began with the first start
    Given a data folder that was made at the first start
    When its process starts again without leave to form a group
    Then it replies that it may form one
    When its folder is lost and its process starts again
    Then it replies that it may not form one
