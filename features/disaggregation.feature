Feature: Long prompts are read by prefill engines and answered by decode engines

  Scenario: The answer moves to a decode engine with its first token
    Given a Medena system whose readers are prefill, decode and decode
    When a caller streams a certificate read of 6000 tokens
    And 10 callers ask for lot verdicts at the same time
    Then every answer is whole and its caller's own
    And entry-1 counts 1 "kv_transfers" of "ticket"
    And reader-1 has run 1 request

  Scenario: A ticket that comes too late gets a fresh prefill
    Given a Medena system with late tickets whose readers are prefill, decode and decode
    When a caller streams a certificate read of 6000 tokens
    Then every answer is whole and its caller's own
    And entry-1 counts 1 "kv_transfers" of "failed"
    And reader-1 has run 2 requests
