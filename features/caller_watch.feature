Feature: The watch on the connection of a caller

  # Guards against a watch that takes the next request for the end, or misses it.
  Scenario Outline: Only the end of the connection ends a request
    Given a request that is watched for <seconds> s
    When its caller <act>
    Then the request ends as <outcome>

    Examples:
      | seconds | act                   | outcome |
      | 0.05    | waits                 | served  |
      | 0.05    | sends another request | served  |
      | 30.00   | leaves                | gone    |
      | 30.00   | resets                | gone    |
      | 30.00   | has left before       | gone    |
