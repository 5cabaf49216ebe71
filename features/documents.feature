Feature: The operators' pages keep up with the code

  Scenario: Each error code has its page
    Then each code of the registry has a page with its status and verdicts
    And no page is for a code that is not in the registry
