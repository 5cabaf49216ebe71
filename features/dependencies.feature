Feature: Packages of another Python are noticed

  # Guards against: compiled packages of another Python or kind of machine, or half
  # of an installation, that a build keeps, so that no program starts.
  Scenario Outline: A build with <found> makes the packages <times> times
    Given a folder of packages with <found>
    When the packages are prepared
    Then they were made <times> times, and nothing else is in the folder

    Examples:
      | found                              | times |
      | nothing                            | 1     |
      | packages of this Python            | 0     |
      | packages of another Python         | 1     |
      | packages for other requirements    | 1     |
      | packages without a stamp           | 1     |
      | half of an installation            | 1     |

  # Guards against: a traceback for each program, which doesn't say what to do.
  Scenario: A program whose packages cannot be imported says how to mend it
    Given packages that this Python cannot import
    When a program starts
    Then it ends with 1 and one line that names the build
