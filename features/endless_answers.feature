Feature: An answer without end takes nothing from other requests

  # Guards against a receiving greenlet that never lets others run.
  Scenario Outline: Others run while a back end sends without a pause
    Given a back end that sends <what> without a pause
    When its answer is read with a limit of 0.5 seconds
    Then the read ends within 1 second
    And a greenlet that wakes each 10 ms woke at least 20 times meanwhile

    Examples:
      | what                 |
      | a body               |
      | a body in tiny chunks |
      | trailers             |
      | chunk extensions     |
