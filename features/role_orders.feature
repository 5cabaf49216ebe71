Feature: Role orders of a leader that was frozen

  # Guards against a former leader that goes on with its successor's number.
  Scenario: A leader that is replaced among its orders sends no other one
    Given a leader with 9 engines of which 3 read
    And it freezes during its first order while another host takes the lead
    When it looks at them for 8 seconds
    Then it has ordered 1 engines to read, each with the term as fence

  # Guards against a follower that counts as confirmed by its own leader.
  Scenario: A former leader is confirmed by no successor
    Given a follower of a leader that answers reads
    When it asks whether it leads in term 1
    Then the read was refused with "no-quorum"
    And it took less than 100 ms

  # Guards against a lead that ended while its confirmation was on the way.
  Scenario: A confirmation during which the host was frozen does not count
    Given a leader with 9 engines of which 3 read
    When its term is confirmed, and it is frozen for 3.5 s meanwhile
    Then the read was refused with "no-quorum"

  # Guards against an order that was decided before a freeze and left after it.
  Scenario: An order is confirmed after the engine's report was read
    Given an engine that notes what arrives
    When an order is sent there that is not confirmed
    Then only the report was asked for
    When an order is sent there that is confirmed
    Then the order arrived once, with its number and the report's sequence

  # Guards against two holders that take turns within a lease: an order may leave
  # this long after its sender was replaced, within the time of a confirmation.
  Scenario Outline: A new leader waits for the lease behind its predecessor's last order
    Given a leader with 9 engines of which 3 read
    And it has led for <seconds> s after another host, with leases of 3 s
    When it looks at them for 8 seconds
    Then it has ordered <orders>

    Examples:
      | seconds | orders                                          |
      | 3.4     | nothing                                         |
      | 3.6     | 3 engines to read, each with the term as fence  |
