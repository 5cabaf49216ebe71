Feature: When room is short, it is shared between customers by need

  # Guards against: a crowd that takes the room of the others, in loads of the
  # kinds that operators see.
  Scenario Outline: What customers of uneven size get of a pool
    Given a pool that serves 100 requests a second, and <load>
    When the load goes on for 40 seconds
    Then the small customers are served at least <small> in 100
    And no customer is served less than a quarter as often as all
    And the pool serves at least 95 requests a second

    Examples:
      | load                                       | small |
      | a crowd of 200 a second and a trickle of 2 | 95    |
      | two crowds of 100 each and ten of 2        | 95    |
      | 80 customers of very uneven size           | 95    |

  # Guards against: requests that are refused while there is room for all.
  Scenario: Nobody is refused while there is room
    Given a pool that serves 100 requests a second, and a crowd of 60 and a trickle of 2
    When the load goes on for 40 seconds
    Then no request is refused

  # Guards against: shares of long ago that hold for good without a leader.
  Scenario: The shares that were told last hold for 10 seconds
    Given an entry that was told that ana gets 20 times its share
    Then ana may fill 0.81 of the room, and bo 1.00
    And 11 seconds later ana may fill 1.00 of the room, and bo 1.00

  # Guards against: a message that grows with the number of customers.
  Scenario: Entries are told of a bounded number of customers
    When 370 customers have requests, each one more than the one before
    Then entries are told of at most 48 of them
