Feature: The whole path, from a caller to an engine or service and back

  Background:
    Given a Medena system with 2 readers and 2 desks

  Scenario: Each caller gets the whole answer to its own request
    When 20 callers ask for lot verdicts at the same time
    And a caller streams a certificate read of 6000 tokens
    Then every answer is whole and its caller's own
    And every verdict is "ran"

  Scenario: A reservation and its resend run once
    When a trader reserves lot 7 with key "lot-7"
    And a trader reserves lot 7 with key "lot-7"
    Then both answers are the same
    And the desks have run key "lot-7" once

  Scenario: A key with another body is refused
    When a trader reserves lot 7 with key "lot-7"
    And a trader reserves lot 8 with key "lot-7"
    Then the last answer has status 409, code "key-conflict" and verdict "not-run"
    And the desks have run key "lot-7" once

  Scenario: A key with another operation is refused
    When a trader reserves lot 7 with key "lot-7"
    And a trader releases lot 7 with key "lot-7"
    Then the last answer has status 409, code "key-conflict" and verdict "not-run"
    And the desks have run key "lot-7" once

  Scenario: Bad requests get clear errors
    When a caller sends these requests
      | method | path                       | body                              | status | code          |
      | POST   | /v1/completions            | {"model": "lot-verdicts"          | 400    | bad-request   |
      | POST   | /v1/completions            | {"model": "none", "prompt": "a"}  | 404    | unknown-route |
      | POST   | /v1/chat/completions       | {"model": "lot-verdicts"}         | 400    | bad-request   |
      | GET    | /v1/completions            |                                   | 405    | wrong-method  |
      | GET    | /nowhere                   |                                   | 404    | not-found     |
      | POST   | /services/order-desk/paint | {}                                | 404    | not-found     |
    Then each is answered with its status, its code and the verdict "not-run"
    And no desk has run anything
