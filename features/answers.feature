Feature: Whole answers
  Every answer can be checked by its content. A caller gets the whole answer
  to their own request, or an error, whatever engines and links do.

  Scenario Outline: An engine that answers <fault>
    Given a fleet of 2 engines
    When "reader-1" answers <fault>
    And 12 answers of 30 tokens are streamed
    And answers of 30 tokens are streamed until "reader-1" has begun one
    Then every answer is whole
    And the endpoint processes have counted "<counter>"

    Examples:
      | fault            | counter                                       |
      | crossed          | engine_events_dropped_total{code="crossed-id"}   |
      | cut              | answers_failed_total{code="answer-incomplete"}   |
      | duplicate-finish | engine_events_dropped_total{code="after-finish"} |

  Scenario Outline: A link that is <fault> in mid-stream
    Given a fleet of 1 engine behind a proxy for its callers
    When 6 answers of 150 tokens are streamed
    And the link to the engine is <fault> for <seconds> seconds
    Then every answer is whole
    And the engine has run each request once

    Examples:
      | fault | seconds |
      | cut   | 0.2     |
      | hold  | 1       |

  Scenario: A link that is cut for longer than the entry tries to resume
    Given a fleet of 1 engine behind a proxy for its callers
    When 6 answers of 150 tokens are streamed
    And the link to the engine is cut for 2 seconds
    Then every answer is whole

  Scenario: An engine that crashes in mid-stream
    Given a fleet of 2 engines
    When 8 answers of 150 tokens are streamed
    And the busiest engine is killed
    Then every answer is whole
    And some answers were continued from the tokens already sent

  Scenario: An endpoint process that crashes in mid-stream
    Given a fleet of 2 engines
    When 8 answers of 150 tokens are streamed
    And the busiest endpoint process is killed
    Then every answer is whole

  Scenario: A caller that goes away
    Given a fleet of 1 engine
    When 1 answer of 400 tokens is streamed
    And its caller goes away
    Then the engine has nothing to do within 2 seconds
