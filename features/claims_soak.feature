Feature: Bookings under random kills run at most once
  Entries and endpoint processes are killed at random, all from one seed;
  `make soak` runs the same for longer.

  Scenario Outline: A short run from a fixed seed
    When 300 keys are booked under at least 4 kills from seed <seed>
    Then no answer is wrong by the execution files
    And at least 200 keys ran and at least 200 sends were refused

    Examples:
      | seed |
      | 11   |
      | 12   |
      | 13   |
