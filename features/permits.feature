Feature: Permits that come late
  A permit starts a booking once, on the incarnation that issued it, within
  its life on that process's clock. The desk's own record is the judge.

  Scenario: A process is paused for longer than a permit lives
    Given a desk behind a proxy whose permits live 1 second
    When a trader books with key "entry-paused"
    And the entry is paused for 2 seconds before it hears of its permit
    Then the desk has run key "entry-paused" once, as the trader was told
    And the desk has refused a permit as "not-outstanding"
    When a caller holds a permit for key "desk-paused"
    And the desk's process is paused for 2 seconds with its dispatch waiting
    Then the dispatch is refused as "permit-unusable", "not-run"
    And the desk has not run key "desk-paused"

  Scenario: A permit that was used, or whose issuer has restarted
    Given a desk behind a proxy whose permits live 10 seconds
    When a caller holds a permit for key "used"
    And the caller dispatches with it
    And the caller dispatches with it
    Then the dispatch is refused as "permit-unusable", "not-run"
    And the desk has run key "used" once
    When a caller holds a permit for key "held"
    And its dispatch is held on the link until both sides have restarted
    Then the desk has not run key "held"
    When the new process grants a permit with the same number for "held"
    And the caller dispatches with the old one
    Then the dispatch is refused as "outcome-unknown", "may-have-run"
    And the desk has not run key "held"
