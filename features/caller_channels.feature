Feature: What happens on callers' channels ends no other request

  # Guards against: a process that ends, and all its requests with it, because the
  # loop still watched a channel that a busy entry had closed.
  Scenario: Channels that are closed while the entry is behind end no process
    Then a process that closes channels of callers while it is behind goes on

  # Guards against: a caller that leaves unnoticed, because its channel once looked
  # readable when it was not and the loop cannot wait for it.
  Scenario: A channel that is reported readable for nothing is still watched
    Given a request whose channel is reported readable for nothing
    When its caller closes the channel
    Then the request is cancelled

  # Guards against: a stream of which a caller reads nothing, logged as cancelled by
  # that caller and with a trace of the server for each, when a limit ends it.
  Scenario Outline: A stream that nobody reads ends at <end>
    Given an entry whose streams are larger than a connection holds
    When a caller reads nothing of a stream until <end>
    Then the stream has ended as "<outcome>", and its answer is visibly broken
    And the server has reported no failure of its own

    Examples:
      | end                       | outcome           |
      | its time limit            | deadline-passed   |
      | the end of a planned stop | answer-incomplete |

  # Guards against: answers and places that callers hold for ever by reading nothing.
  Scenario: An answer that nobody reads is given up after the idle time
    Given an entry whose lookups are larger than a connection holds
    And connections may be idle for 1 second
    When a caller reads nothing of a lookup
    Then its connection is gone within 6 seconds, and not before 1 second
    And the server has reported no failure of its own

  # Guards against: the same limit on callers that read slowly, but do.
  Scenario: An answer that is read slowly comes whole
    Given an entry whose lookups are larger than a connection holds
    And connections may be idle for 1 second
    When a caller reads a lookup in pieces with pauses of 0.3 seconds
    Then it gets the whole lookup, over more than 2 seconds
