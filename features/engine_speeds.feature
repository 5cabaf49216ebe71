Feature: What an engine does is learned from the calls to it

  Scenario Outline: Engines that are not what was guessed
    Given engines that prefill <times> times as fast as the guess
    When 40 prefills of mixed sizes have ended
    Then prompts of 500, 3000 and 17000 tokens are predicted within 20 percent

    Examples:
      | times |
      | 6     |
      | 1     |
      | 0.25  |

  Scenario: Calls at busy engines count for the work ahead of them, too
    Given engines that prefill 6 times as fast as the guess
    When 40 prefills have ended, each with 5 prompts ahead of it
    Then prompts of 3000, 5000 and 17000 tokens are predicted within 20 percent

  Scenario: Engines turn slow in the middle
    Given engines that prefill 6 times as fast as the guess
    When 40 prefills of mixed sizes have ended
    And the engines turn 4 times as slow
    And 100 prefills of mixed sizes have ended
    Then prompts of 500, 3000 and 17000 tokens are predicted within 20 percent

  Scenario: A host that was paused says nothing of its engine
    Given engines that prefill 1 times as fast as the guess
    When 40 prefills of mixed sizes have ended
    And one prefill of 3000 tokens takes 8 s
    Then prompts of 500, 3000 and 17000 tokens are predicted within 20 percent

  Scenario: All prompts are of one size
    Given engines that prefill 6 times as fast as the guess
    When 40 prefills of 3000 tokens have ended
    Then prompts of 2500, 3000 and 3500 tokens are predicted within 20 percent

  Scenario: One engine of a pool is slow
    Given engines that prefill 1 times as fast as the guess
    When 40 prefills of mixed sizes have ended
    And 20 prefills at engine "slow" took 3 times as long
    Then engine "slow" is predicted 2 to 4 times as slow as the others

  Scenario: An entry that starts anew predicts as well as the others
    Given engines that prefill 6 times as fast as the guess
    And an entry with a stream to a leader
    When 40 prefills of mixed sizes have ended
    And another entry opens its stream
    Then the other entry predicts within 20 percent, too

  Scenario: A cold pool neither refuses everything nor admits without limit
    Given 6 engines that read and 3 that decode
    Then a first long prompt is admitted with an objective of 660 ms
    And of 200 long prompts at one moment some are admitted and some refused

  Scenario Outline: The same load at fast and slow engines spreads alike
    Given 6 engines that read and 3 that decode
    And engines that prefill <times> times as fast as the guess
    When 40 prefills of mixed sizes have ended
    And a burst of 60 different long prompts is planned at engines of any role
    Then every engine that reads has prompts, and none has over twice the mean

    Examples:
      | times |
      | 6     |
      | 0.25  |

  # Guards against: a ratio that each entry learns alone from a few calls, and
  # that one which has just started does not know at all.
  Scenario: What all entries see of an engine is told to each of them
    Given 20 entries that tell a leader of their calls
    When each has made 3 prefills, and engine "slow" took 2.4 times as long as the others
    Then each entry predicts engine "slow" 1.8 to 2.6 times as slow as the others
    And an entry that starts anew knows it, too

  # Guards against: moments of slowness that are taken for what an engine is.
  Scenario: An engine that is slow now and then keeps the ratio of its pool
    Given an engine whose calls take 1 times as long, and one in seven 2.5 times
    When 100 of its calls have ended
    Then its ratio is from 0.9 to 1.25

  # Guards against: a paused host that spoils what is known of an engine.
  Scenario: One odd call moves a ratio by a bounded step
    Given an engine whose calls take 1 times as long, and one in seven 1.0 times
    When 40 of its calls have ended
    And one call takes 500 times as long
    Then its ratio is from 0.9 to 1.25

  # Guards against: the slowest engine that is turned to prefill, because it is
  # idle, when one more is needed.
  Scenario: An engine that is to prefill is chosen by its speed
    Given a leader with 9 engines of which 3 read
    And its engines "e3" to "e5" are 3 times as slow as the others
    When it looks at them for 8 seconds
    Then it has ordered 3 engines to read, each with the term as fence
    And none of the slow ones is among them
