Feature: The start of an entry

  # Guards against: callers that are refused by an entry which would have known
  # its routes a moment later, as when all power comes back.
  Scenario: A request waits for the routes and the loads of an entry that starts
    Given an entry that has just started and knows nothing
    When a caller calls "/look/plain" with "Authorization: Bearer key-1"
    Then it is not answered yet
    When its routes arrive
    Then it is not answered yet
    When its loads arrive
    Then it is answered 200 and the key counts as "none"

  # Guards against: callers that are held while control cannot be reached.
  Scenario: An entry that learns nothing within its start refuses at once
    Given an entry that started long ago and knows nothing
    When a caller calls "/look/plain" with "Authorization: Bearer key-1"
    Then it is answered 503 and the key counts as "none"

  # Guards against: connections refused during the imports of a start, and a
  # socket that a second application of the process would take once more.
  Scenario: Callers may connect before the program is imported
    Given the settings file of an entry
    When the process listens early and a caller connects and sends a request
    And the server starts on that socket
    Then the caller is answered
    And the next application of the process listens itself

  # Guards against: a settings file that ends a process before it can wait for a
  # sound one.
  Scenario Outline: A settings file that cannot be used keeps nothing from starting
    Given a file of settings with <odd>
    When the process listens early
    Then no socket listens

    Examples:
      | odd                 |
      | nothing             |
      | half of its text    |
      | no address          |
      | an address in words |

  # Guards against: hundreds of entries that start together and ask a control host
  # which is behind with its answers twenty times a second each.
  Scenario Outline: How soon an entry asks again whether its routes are the newest
    Given an entry that follows a control host which replays its log
    When it has sent <asks> asks of which <stamps> have been answered
    Then it asks again after <pause> ms

    Examples:
      | asks | stamps | pause |
      | 1    | 0      | 50    |
      | 3    | 2      | 50    |
      | 2    | 0      | 200   |
      | 5    | 1      | 200   |
