Feature: The replicated log keeps what it acknowledged
  Three members are processes of their own; the fault proxy stands on every
  link between them.

  Scenario: Three members elect, replicate and read
    Given a group of three members
    When 20 commands are sent through each member
    Then every member reads all of them

  Scenario: The group restarts with everything it acknowledged
    Given a group of three members
    When 20 commands are sent through each member
    And all members are killed at once and started again
    Then every member reads all of them

  Scenario: A leader that stops hands over first
    Given a group of three members
    When the leader is stopped while commands are sent
    Then no command was refused for longer than an election
    And every member that runs reads all of them

  Scenario: All members that stop at once wait for nobody
    Given a group of three members
    When all members are asked to stop at once
    Then the leader asked each other voter once and was gone within a second
