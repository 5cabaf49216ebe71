Feature: What an entry does not know is denied by the newest routes only

  # Guards against a confirmed route that is refused with 404 by an entry that is behind.
  Scenario: A path that is newer than the routes of an entry is served
    Given an entry without customers
    And its routes were confirmed before the next call
    When a caller calls "/new/plain" with "Accept: any"
    Then it is not answered yet
    When version 2 arrives, which has a route at "/new/"
    Then it is answered 200 by the new route

  # Guards against paths of none that are never denied.
  Scenario: A path that has no route is denied once the routes are confirmed
    Given an entry without customers
    And its routes were confirmed before the next call
    When a caller calls "/new/plain" with "Accept: any"
    Then it is not answered yet
    When its routes are confirmed
    Then it is answered 404 as the newest routes say

  # Guards against a 404 that no confirmed route supports while control is lost.
  Scenario: Without a confirmation in time a path is not denied but refused
    Given an entry without customers
    And its routes were confirmed before the next call
    When a caller calls "/new/plain" with "Accept: any"
    Then it is answered 503 with a time to come back
