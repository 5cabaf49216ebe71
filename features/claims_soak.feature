Feature: Bookings under random kills run at most once
  Entries and endpoint processes are killed at random, all from one seed;
  `make soak` runs the same for longer.

  Scenario Outline: A short run from a fixed seed
    When bookings are sent for 12 seconds under kills from seed <seed>
    Then no answer is wrong by the execution files
    And hundreds of keys ran and hundreds of sends were refused

    Examples:
      | seed |
      | 11   |
      | 12   |
      | 13   |
