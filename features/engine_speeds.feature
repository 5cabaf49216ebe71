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
