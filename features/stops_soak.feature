Feature: Planned stops of entries in randomised runs

  # Guards against requests that are cut, run twice or wrongly answered while entries
  # are stopped by turns and together, on connections that are used to their end.
  Scenario: A short run from a fixed seed
    When entries are stopped as planned for 15 seconds, by seed 11
    Then entries were stopped, and callers were served
    And nothing was violated
