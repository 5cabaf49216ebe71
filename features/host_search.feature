Feature: A node finds a control host that is current

  # Guards against an entry that obeys old routes for as long as hosts are behind.
  Scenario Outline: The host that a node follows falls behind, and others are no better
    Given a node that follows the first of 6 control hosts
    When that one falls behind, <behind> are behind, too, and <silent> are silent
    Then the node is current again within 2 seconds

    Examples:
      | behind | silent |
      | 0      | 0      |
      | 2      | 0      |
      | 0      | 2      |
      | 2      | 2      |

  Scenario: No host is current for a while
    Given a node that follows the first of 6 control hosts
    When all fall behind for 2 seconds
    Then the node is current again within 4 seconds

  # Guards against all nodes of a lost host at one other host.
  Scenario: The nodes of a lost host spread over the others
    Given 24 nodes that follow 6 control hosts
    When the first of these ends
    Then all nodes are current again within 2 seconds
    And no host is followed by more than half of them

  # Guards against a node that opens streams in a loop which all end at once.
  Scenario: A host that is current ends each stream at once
    Given a node that follows the first of 2 control hosts
    When both end all streams as they begin, for 2 seconds
    Then they were asked for at most 20 streams
    And the node is current again within 3 seconds
