Feature: Foreign or malformed bytes close their connection and nothing else

  Scenario: Any bytes are frames or a bad frame
    Then random bytes and damaged frames give frames or "bad-frame"

  Scenario: A peer without the key, and one that sends no frames
    Given a ledger system
    When a peer with another key asks "control-1"
    Then it is refused
    And "control-1" counts 1 of "link_refusals" with "bad-handshake"
    When a peer with the key sends bytes that are no frame to "control-1"
    Then its connection is closed
    And "control-1" counts 1 of "link_bad_frames" with ""
    When "entry-1" books "a"
    Then the last booking ran
