Feature: The rules of claims hold in every order of steps
  The model visits every state of two sends with one key, one endpoint host
  that restarts once, and frames that arrive late or more than once.

  Scenario: The protocol keeps both rules
    When the claim model explores the protocol
    Then no state breaks a rule

  Scenario Outline: A protocol without one of its rules is found
    When the claim model explores the variant "<variant>" with <losses> losses
    Then it finds a state that is "<violation>"

    Examples:
      | variant            | losses | violation                           |
      | early-refusal      | 0      | executed after not-run was answered |
      | read-refusal       | 0      | executed after not-run was answered |
      | release-on-restart | 0      | not-run after an execution          |
      | no-incarnation     | 0      | executed after not-run was answered |
      | forget-early       | 0      | not-run after an execution          |
      | reopen             | 0      | executed after not-run was answered |
      | barred-by-release  | 1      | executed after not-run was answered |
      | kept-mark          | 1      | executed after not-run was answered |
