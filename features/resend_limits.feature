Feature: The limits of resends hold as back ends count arrivals

  # Guards against calls that reach a back end and that no limit counts.
  Scenario Outline: Each arrival beyond the first of a request counts as a resend
    Given a model request on 3 engines that read and 3 that write, with 9 resends left
    When its reads are <reads> and its sends are <sends>
    Then <resends> resends were taken, as many as arrivals beyond the first

    Examples:
      | reads              | sends              | resends |
      | done               | done               | 0       |
      | declined, done     | done               | 1       |
      | declined, declined | done               | 2       |
      | done               | declined, done     | 1       |
      | done               | declined, declined, done | 2 |
      | declined, done     | declined, done     | 2       |
      | failed, done       | done               | 1       |

  # Guards against a read that is declined when no arrival is left for its send.
  Scenario: A declined read is not followed by an arrival over the limits
    Given a model request on 3 engines that read and 3 that write, with 0 resends left
    When its reads are declined, done and its sends are done
    Then it is refused as not run after 1 arrival

  # Guards against a process that starts with the whole part of the one before it.
  Scenario: Entries that are killed and start again stay within the limits
    Given 4 entries that share 0.2 resends a request and 52 more
    When each gets 50 requests, tries 500 resends and is killed, 3 times within a window
    Then together they resent at most 172 times

  # Guards against a fixed part that is lost for good by a restart.
  Scenario: An entry that has run for a window has its part of the limits
    Given 4 entries that share 0.2 resends a request and 52 more
    When each has run for a window and tries 500 resends
    Then together they resent at least 24 times

  # Guards against a fixed part that grows while a new leader meets the entries.
  Scenario: A new leader that knows few entries does not raise their parts
    Given an entry that shared the limits with 19 others
    When a new leader tells it of 1, 2 and 5 entries
    Then its part of 100 more resends stays at 5 or less
    And a window later its part is that of 5 entries

  # Guards against an entry that takes the part of all before it knows of any.
  Scenario: An entry that was told of no others has no fixed part
    Given 4 entries that share 0.2 resends a request and 52 more
    When each has run for a window, knows no number of entries and tries 500 resends
    Then together they resent at most 0 times

  # Guards against requests whose bodies stay in memory until a collection.
  Scenario: A request that has ended is not kept in memory
    Given a model request on 3 engines that read and 3 that write, with 9 resends left
    When its reads are declined, done and its sends are declined, done
    Then without a collection nothing of it is kept

  # Guards against each entry finding out by declined calls of its own, all of which count.
  Scenario: An engine that declines calls of some entries is left alone by all
    Given 8 entries that use the same 3 engines that read
    When one engine declines a read of 3 of the entries
    Then half a second later none of the entries would ask it to read
    And 5 seconds later all of them would ask it again

  Scenario: An engine that declines now and then is used
    Given 8 entries that use the same 3 engines that read
    When one engine declines a read of 3 of the entries
    And it accepts a read of 3 of the entries
    Then half a second later all of the entries would ask it to read

  Scenario: Engines that all decline are used
    Given 8 entries that use the same 3 engines that read
    When every engine declines a read of 5 of the entries
    Then half a second later all of the entries would ask it to read
