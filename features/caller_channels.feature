Feature: What happens on callers' channels ends no other request

  # Guards against: a process that ends, and all its requests with it, because the
  # loop still watched a channel that a busy entry had closed.
  Scenario: Channels that are closed while the entry is behind end no process
    Then a process that closes channels of callers while it is behind goes on
