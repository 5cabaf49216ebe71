Feature: The operators' pages keep up with the code

  Scenario: Each error code has its page
    Then each code of the registry has a page with its status and verdicts
    And no page is for a code that is not in the registry

  Scenario: The page of the settings is made from their types
    Then the page of the settings is what the code makes

  Scenario: Each series of the metrics has its row
    Then each series that the code counts or times is on its page
    And no row is for a series that the code does not have

  Scenario: Nothing outside the platform's folder knows its names
    Then no module of the packages has a name of the platform's wire
