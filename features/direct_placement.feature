Feature: Prompts are read where they cost least, and streams are not held up

  Scenario: A shared beginning goes to one engine on every entry
    Given 6 engines that read and 3 that decode
    When two entries that know nothing of each other plan 40 long prompts
    Then both send each shared beginning to the same reader

  Scenario: A prompt goes where its beginning is held
    Given 6 engines that read and 3 that decode
    And reader 5 holds the beginning of a long prompt
    When the long prompt is planned
    Then reader 5 reads it

  Scenario: A long queue at the holder moves a prompt to an idle reader
    Given 6 engines that read and 3 that decode
    And reader 5 holds the beginning of a long prompt
    And reader 5 has 3000 ms of prompts ahead
    When the long prompt is planned
    Then another reader reads it

  Scenario: Half the readers are busy and the beginnings lie there
    Given 6 engines that read and 3 that decode
    And 12 shared beginnings are held by readers 0, 1 and 2
    And readers 0, 1 and 2 have 900 ms of prompts ahead
    When 12 prompts with those beginnings are planned
    Then the idle readers copy the beginnings and read the rest

  Scenario: A beginning is copied within the zone where it can be
    Given 6 engines that read and 3 that decode
    And reader 5 holds the beginning of a long prompt
    And reader 0 holds the beginning of a long prompt
    And readers 0, 2 and 5 have 900 ms of prompts ahead
    When the long prompt is planned
    Then the beginning is copied from an engine in the reader's zone

  Scenario: No copy from an engine after a read that failed
    Given 6 engines that read and 3 that decode
    And reader 5 holds the beginning of a long prompt
    And readers 5, 5 and 5 have 3000 ms of prompts ahead
    When the long prompt is planned again after a failed read
    Then another reader reads it
    And nothing is copied

  Scenario: No copy from an engine that crashed
    Given 6 engines that read and 3 that decode
    And 1 engines whose role the list does not tell
    And the engine without a role holds the beginning of a long prompt
    When the long prompt is planned
    Then nothing is copied

  Scenario: Slow links between engines
    Given 6 engines that read and 3 that decode
    And links between engines that move a token in 0.1 ms
    And reader 5 holds the beginning of a long prompt
    And readers 5, 5 and 5 have 3000 ms of prompts ahead
    When the long prompt is planned
    Then another reader reads it
    And nothing is copied

  Scenario: A step of one kind of request spreads over the readers
    Given 6 engines that read and 3 that decode
    When a burst of 24 different long prompts is planned without an answer
    Then every reader has prompts and none has over twice the mean

  Scenario: What the other entries have in work counts
    Given 6 engines that read and 3 that decode
    And the others report 2000 ms of prompts at every reader but reader 2
    When the long prompt is planned
    Then reader 2 reads it

  Scenario: Long prompts are not read at engines that decode
    Given 6 engines that read and 3 that decode
    And the others report 900 ms of prompts at every reader
    When the long prompt is planned
    Then a reader reads it

  Scenario: Short prompts leave busy readers for an idle decoder
    Given 6 engines that read and 3 that decode
    And the others report 900 ms of prompts at every reader
    When a short prompt is planned
    Then a decoder reads it itself

  Scenario: Streams keep prompts away from a decoder
    Given 6 engines that read and 3 that decode
    And every decoder streams to 40 callers
    When a short prompt is planned
    Then a reader reads it

  Scenario: A third of the engines gone leaves a plan
    Given 4 engines that read and 2 that decode
    When a burst of 24 different long prompts is planned without an answer
    Then every reader has prompts and none has over twice the mean

  Scenario: Engines that crashed are listed without a role
    Given 6 engines that read and 3 that decode
    And 2 engines whose role the list does not tell
    And every decoder streams to 10 callers
    And the others report 900 ms of prompts at every reader
    When a short prompt is planned
    Then an engine with a role answers it

  Scenario: A pool without roles still has a plan
    Given 0 engines that read and 0 that decode
    And 3 engines whose role the list does not tell
    When a short prompt is planned
    Then an engine without a role reads and answers it

  Scenario: Grey decoders are not hidden by trusted readers
    Given 6 engines that read and 3 that decode
    When every decoder fails 20 calls
    Then the usable engines still include 3 that decode

  Scenario: What an entry never saw is still known to be held
    Given 6 engines that read and 3 that decode
    When another entry's placement says that reader 4 holds a beginning
    Then the beginning counts as held by reader 4

  Scenario: What others read does not make an engine's memory larger
    Given 6 engines that read and 3 that decode
    And this entry read one prompt at reader 4, whose memory is 100000 tokens
    When other entries place 40 beginnings of 13300 tokens at reader 4
    Then at most 100000 tokens count as held by reader 4
    And the beginnings that were placed last are among them

  Scenario: Placements travel in the order in which prompts were read
    Given a leader that sums the loads of entries
    When one entry reports 12 placements in 4 reports
    Then another entry gets them in the same order

  Scenario: Two of three engines that answer are slow to take over memory
    Given 6 engines that read and 3 that decode
    When 6 prompts took 20 times as long to reach decoders 0 and 1
    Then 12 long prompts in a row go on at decoder 2
    And after 20 s without a move the slow decoders are tried again

  Scenario: Engines that ended leave the table of slow moves
    Given 6 engines that read and 3 that decode
    When 6 prompts took 20 times as long to reach decoders 0 and 1
    Then after 60 s without a move the leader tells of none

  Scenario: One beginning is asked for by several callers at one moment
    Given 6 engines that read and 3 that decode
    When 4 prompts with one new beginning are planned while the first is read
    Then one reader reads them all, and the beginning is read once

  Scenario: Nothing is copied from an engine that has not read yet
    Given 6 engines that read and 3 that decode
    And reader 5 was asked to read the beginning of a long prompt
    And readers 5, 5 and 5 have 3000 ms of prompts ahead
    When the long prompt is planned
    Then another reader reads it
    And nothing is copied

  Scenario: A read that never ended is not believed in for long
    Given 6 engines that read and 3 that decode
    And reader 5 was asked to read the beginning of a long prompt
    When 2 s pass without an answer
    Then the beginning does not count as held by reader 5

  # Guards against: KV cache that one software version fills and another one uses.
  Scenario Outline: KV cache stays within a software version
    Given 6 engines that read and 3 that decode
    And <which> are of another software version
    And reader 5 holds the beginning of a long prompt
    And readers 0, 1 and 5 have 900 ms of prompts ahead
    When 12 different prompts and the long one are planned
    Then no plan has engines of two software versions
    And no plan copies between software versions

    Examples:
      | which                          |
      | readers 0 to 2                 |
      | decoders 0 to 1                |
      | readers 3 to 5 and decoder 2   |
      | all readers                    |

  # Guards against: the same, where the list changes while a prompt is read.
  Scenario: KV cache whose version can decode nowhere any more is given back
    Given a request whose prompt is read at "v1" while the engines of "v1" leave
    When its stream is opened
    Then its KV cache is freed and it is served at "v2" from its beginning
