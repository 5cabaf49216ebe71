Feature: Decisions under load and faults

  Scenario: Retries stay within their budget when every engine fails
    Given a Medena system with 2 readers and 1 desk under load
    And every engine cuts its answers
    When 40 callers ask for lot verdicts through one entry
    Then no answer is whole
    And entry-1 has made at most 47 endpoint calls

  Scenario: A heavy caller does not starve another one
    Given a Medena system with 1 reader and 1 desk under load
    When a trader asks for 32 lot verdicts at once
    And a clerk asks for 4 lot verdicts after that
    Then every answer is whole and its caller's own
    And the clerk has all answers before the trader has 24

  # Guards against permits that go to whoever wakes first, by which a heavy caller
  # with many waiting requests keeps another one from its share.
  Scenario: A permit that is freed goes to the most urgent of those that wait
    Given 28 requests that a full endpoint has refused, and 4 more urgent ones
    When a permit is freed 4 times
    Then the 4 urgent ones have been served

  Scenario: A request that cannot meet its deadline is refused at once
    Given a Medena system with 1 reader and 1 desk under load
    And a caller has read 8 certificates of 2000 tokens
    When a caller asks for a certificate read of 48000 tokens
    Then the read is refused as "deadline-unreachable" within 2 s
    And reader-1 has run 8 requests

  Scenario: An answer goes on when its endpoint process is killed
    Given a Medena system with 2 readers and 1 desk under load
    When the endpoint process of a read of 6000 tokens is killed before its first token
    Then every answer is whole and its caller's own
