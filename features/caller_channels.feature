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
