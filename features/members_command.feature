Feature: Operators change the control hosts by a command
  `kingcuptrestle members` is asked through any control host.

  Scenario: A control host is taken out and joins again
    Given a system of three control hosts
    When the operator removes a control host
    Then the members are the other two
    When the operator adds it again
    Then the members are all three and losing one more host is safe

  Scenario: A change that cannot be made says why and changes nothing
    Given a system of three control hosts
    When a control host is killed and the operator removes another one
    Then the command exits with 1 and the code members-refused
    And an address that is missing exits with 1 and the code bad-request
