Feature: A back end gets no more requests than it asks for

  # Guards against: a back end names a rate limit and the entries together send
  # it far more.
  Scenario: Entries together keep to the limit that a back end names
    Given 4 entries that share 2 back ends
    When back end 1 names a limit of 6 requests/s
    And 800 requests come in 8 s
    Then back end 1 got at most 41 requests in any 4 s of the last 7 s
    And back end 1 got at least 33 requests in the last 7 s
    And no request was refused

  Scenario: Many entries keep to a small limit
    Given 68 entries that share 3 back ends
    When back end 1 names a limit of 2 requests/s
    And 800 requests come in 8 s
    Then back end 1 got at most 17 requests in any 4 s of the last 7 s

  Scenario: Entries keep to a limit while nobody leads
    Given 4 entries that share 2 back ends
    When back end 1 names a limit of 6 requests/s
    And 100 requests come in 1 s
    And nobody leads
    And 800 requests come in 8 s
    Then back end 1 got at most 41 requests in any 4 s of the last 8 s
    And back end 1 got at least 20 requests in the last 7 s

  Scenario: Requests that no back end can take are refused at once
    Given 4 entries that share 2 back ends
    When back end 1 names a limit of 3 requests/s
    And back end 2 names a limit of 3 requests/s
    And 800 requests come in 8 s
    Then back end 1 got at most 23 requests in any 4 s of the last 7 s
    And back end 2 got at most 23 requests in any 4 s of the last 7 s
    And the others were refused as not run, with different times to come back

  Scenario: A limit that ends holds nobody back
    Given 4 entries that share 1 back ends
    When back end 1 names a limit of 6 requests/s
    And 200 requests come in 2 s
    And back end 1 names no limit
    And 200 requests come in 2 s
    Then back end 1 got at least 90 requests in the last 1 s

  Scenario: A back end that takes nothing is asked now and then
    Given 4 entries that share 2 back ends
    When back end 1 names a limit of 0 requests/s
    And 1200 requests come in 12 s
    Then back end 1 got at most 5 requests in any 4 s of the last 11 s
    And back end 1 got at least 1 requests in the last 11 s

  Scenario: An entry that starts anew hears of a limit from the leader
    Given 4 entries that share 2 back ends
    When back end 1 names a limit of 6 requests/s
    And 100 requests come in 1 s
    And entry 1 starts anew
    Then entry 1 knows a limit of 6 requests/s for back end 1

  Scenario: A leader that starts anew hears of a limit from the entries
    Given 4 entries that share 2 back ends
    When back end 1 names a limit of 6 requests/s
    And 100 requests come in 1 s
    And another host leads
    And entry 1 starts anew
    Then entry 1 knows a limit of 6 requests/s for back end 1

  Scenario: An answer to a request from before the limit does not lift it
    Given 1 entries that share 2 back ends
    When back end 1 names a limit of 6 requests/s
    And 20 requests come in 1 s
    And an answer to an older request of back end 1 names no limit
    Then entry 1 knows a limit of 6 requests/s for back end 1

  Scenario: A request whose prompt is being read has its place at the engine that answers
    Given 1 entries that share 2 back ends
    When back end 1 names a limit of 1 requests/s
    And 20 requests come in 2 s
    And 2 s pass and a request holds a place at back end 1
    Then another request may not be sent to back end 1
    And the request that holds the place may
    When the request gives its place back
    Then another request may be sent to back end 1

  Scenario: A request that was not sent takes no place
    Given 1 entries that share 2 back ends
    When back end 1 names a limit of 1 requests/s
    And 20 requests come in 2 s
    And 2 s pass and a request cannot connect to back end 1
    Then another request may be sent to back end 1

  Scenario Outline: The limit in an answer of the users' platform
    Then the header value "<text>" is a limit of "<rate>" requests/s

    Examples:
      | text | rate |
      | 6.5  | 6.5  |
      | 0    | 0    |
      | 12   | 12   |
      |      | inf  |
      | soon | inf  |
      | -1   | inf  |
      | nan  | inf  |
