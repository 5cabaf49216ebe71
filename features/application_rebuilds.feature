Feature: A process that builds its application anew

  # Guards against a signal to stop that is lost, and one that ends the process,
  # while no application runs.
  Scenario Outline: A process whose disk cannot be used <what>
    Given a control process whose data folder cannot be made
    When it has tried twice and gets <signal>
    Then <outcome>

    Examples:
      | what                     | signal  | outcome                        |
      | ends when it is asked to | SIGTERM | it has ended with 0 within 2 s |
      | bears a hang-up          | SIGHUP  | it still tries                 |

  # Guards against a hang-up that ends a process which has just been started.
  Scenario Outline: <program> that still imports its packages bears a hang-up
    Given <program> whose packages take long to import
    When a hang-up comes while it imports them
    Then it goes on to its end

    Examples:
      | program                   |
      | a program of the platform |
      | a program of the product  |

  # Guards against settings that stay as they were, since they changed between the
  # build of a role and the first look of its watch.
  Scenario: Settings that change while a role is built are taken over
    Given a settings file that changes while its role is built
    When the role runs
    Then it has reloaded its settings

  # Guards against the same while an application was built before.
  Scenario: A process asked to stop between two applications builds no other one
    Given a program whose application fails at its start
    When it is asked to stop after the first application has ended
    Then it has ended after 1 application

  # Guards against a former application that is kept for its signals, with its log
  # and state, and reloads beside the one that runs.
  Scenario: A signal reaches only the application that runs
    Given an application that has run and failed
    When another one runs in the same process and a hang-up comes
    Then only the second one has reloaded
    And nothing keeps the first one

  # Guards against a part that fails to stop and keeps ports and locks of the
  # others from the next application.
  Scenario: A part that fails to stop keeps no other from it
    Given an application with three parts of which the second fails to stop
    When it runs and fails
    Then all three parts were asked to stop
