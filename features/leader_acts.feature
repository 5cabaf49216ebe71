Feature: What a leader decided before it was frozen

  # Guards against a host that commits, through its successor, the list as it read
  # it before it was frozen: back ends that have left would get requests again.
  Scenario Outline: A list that was read before another host led is not committed
    Given a host that leads term 2 and reads <what>
    When it is frozen while it reads, and another host leads meanwhile
    Then nothing is committed, and the attempt is refused as "not-leader"

    Examples:
      | what                     |
      | the list of back ends    |
      | the list of hosts        |

  # Guards against a check that keeps a leader from its own work.
  Scenario Outline: A list that was read while this host led is committed
    Given a host that leads term 2 and reads <what>
    When it reads and still leads
    Then what it read is committed

    Examples:
      | what                     |
      | the list of back ends    |
      | the list of hosts        |

  # Guards against the same for the clock, which would run ahead of real time.
  Scenario: What a former leader measured is not committed by its successor
    Given a host that leads term 2 and has measured the clock
    When another host leads as it submits that
    Then nothing is committed, and the attempt is refused as "not-leader"

  # Guards against a term that came back to this host, with other knowledge.
  Scenario: What was decided in an earlier term of the same host is refused
    Given a member that leads term 4
    When it submits what it decided in term 2
    Then the submission is refused as "not-leader"
