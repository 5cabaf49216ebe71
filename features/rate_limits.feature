Feature: A back end gets no more requests than it asks for

  # Guards against: a back end names a rate limit and the entries together send
  # it far more.
  Scenario: Entries together keep to the limit that a back end names
    Given 4 entries that share 2 back ends
    When back end 1 names a limit of 6 requests/s
    And 800 requests come in 8 s
    Then back end 1 got at most 41 requests in any 4 s of the last 7 s
