Feature: Engines move to the role that the load lacks

  Scenario Outline: The split that a pool needs
    Given a pool with <prefill> engines that read and <decode> that decode
    And <prompts> prompts at a reader, <use> percent of the slots in use
    Then it wants <wanted> engines that read

    Examples: without load, two thirds read
      | prefill | decode | prompts | use | wanted |
      | 3       | 6      | 0       | 0   | 6      |
      | 6       | 3      | 0       | 0   | 6      |
      | 2       | 4      | 0       | 0   | 4      |
      | 1       | 1      | 0       | 0   | 1      |
      | 2       | 3      | 0       | 0   | 3      |

    Examples: nobody decodes, or nobody reads
      | prefill | decode | prompts | use | wanted |
      | 4       | 0      | 3       | 0   | 3      |
      | 0       | 4      | 0       | 95  | 3      |
      | 0       | 1      | 0       | 0   | 0      |
      | 1       | 0      | 0       | 0   | 0      |

    Examples: long answers fill the slots while readers are idle
      | prefill | decode | prompts | use | wanted |
      | 4       | 2      | 0.1     | 90  | 3      |
      | 2       | 4      | 0.1     | 90  | 2      |
      | 26      | 13     | 0.1     | 90  | 23     |

    Examples: prompts queue while slots are free
      | prefill | decode | prompts | use | wanted |
      | 4       | 3      | 3       | 20  | 5      |
      | 4       | 2      | 3       | 20  | 4      |
      | 4       | 3      | 3       | 70  | 4      |

    Examples: both roles are busy, so a change would only cost time
      | prefill | decode | prompts | use | wanted |
      | 4       | 2      | 3       | 90  | 4      |
      | 3       | 3      | 0.7     | 60  | 3      |

  Scenario: A release takes both engines that decode
    Given a leader with 6 engines of which 4 read, under load
    When both engines that decode are leaving
    And it looks at them for 1 second
    Then 1 engine was ordered to decode

  Scenario: A burst of long answers
    Given a leader with 6 engines of which 4 read, under load
    When 30 requests run at each engine that decodes
    And it looks at them for 6 seconds
    Then 1 engine was ordered to decode

  Scenario: A burst that is over before an engine could change
    Given a leader with 6 engines of which 4 read, under load
    When 30 requests run at each engine that decodes
    And it looks at them for 1 second
    And no request runs any more
    And it looks at them for 8 seconds
    Then it has ordered nothing

  Scenario: A large pool without load is changed by a bounded number of orders
    Given a leader with 300 engines of which 100 read, without load
    When it looks at them for 60 seconds
    Then 16 engines were ordered to read

  # Guards against: a software version whose engines all have one role, so that
  # it cannot serve.
  Scenario Outline: Each software version gets both roles
    Given a leader with <old> engines of "v1" and <new> of "v2", all of "v2" with the role "<role>"
    When it looks at them for 10 seconds
    Then <changed> engines of "v2" were ordered another role
    And of "v1" at least one engine has each role

    Examples:
      | old | new | role    | changed |
      | 5   | 4   | prefill | 1       |
      | 5   | 4   | decode  | 3       |
      | 5   | 1   | prefill | 1       |
      | 5   | 1   | decode  | 0       |
