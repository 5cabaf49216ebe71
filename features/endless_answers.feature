Feature: An answer without end takes nothing from other requests

  # Guards against a receiving greenlet that never lets others run.
  Scenario Outline: Others run while a back end sends without a pause
    Given a back end that sends <what> without a pause
    When its answer is read with a limit of 0.5 seconds
    Then the read ends within 1 second
    And a greenlet that wakes each 10 ms woke at least 20 times meanwhile

    Examples:
      | what                 |
      | a body               |
      | a body in tiny chunks |
      | trailers             |
      | chunk extensions     |

  # Guards against lookups that wait for a turn of each stream that has bytes, once
  # for each of their own steps. 240 ms: the 600 ms of a route, of which streams that
  # cost much have 0.4.
  Scenario Outline: A lookup is answered in time beside many streams of <what>
    Given an entry whose engines send <what> without end
    When 40 callers read streams and 25 lookups are made
    Then each lookup took less than 240 ms of processor time
    And the streams went on meanwhile

    Examples:
      | what               |
      | comments           |
      | events             |
      | chunks of one byte |
      | blank lines        |

  # Guards against the same beside three times as many streams of proper events: more
  # than a processor can split, and more bytes than the kernel holds at little cost.
  Scenario: A lookup is answered in time beside a crowd of streams of events
    Given an entry whose engines send events without end
    When 120 callers read streams and 100 lookups are made
    Then each lookup took less than 240 ms of processor time
    And the streams went on meanwhile

  # Guards against one caller, or one process of the system, that keeps all others
  # from running by what it sends.
  Scenario: A body in chunks of one byte leaves others their turn
    Given a body of 200000 chunks of one byte that has arrived
    When it is read beside a greenlet that wakes each 10 ms
    Then no two wakes were more than 100 ms of processor time apart

  # Guards against a control host that answers nobody while it passes over the
  # entries of a page that an engine in trouble filled.
  Scenario: A page of odd entries leaves others their turn
    Given a listing of an engine's cache with 400000 odd entries
    When the listing is read beside a greenlet that wakes each 10 ms
    Then no two wakes were more than 100 ms of processor time apart
