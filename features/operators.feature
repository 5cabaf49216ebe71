Feature: The operators' program tells what it found and what it did

  Scenario: Every error of a set is found, with its path
    Given a set with one error of each kind
    When the program runs "check {set}"
    Then it exits with 2
    And it says each of
      | $.pools.reader.plan: no plan is named none                    |
      | $.routes.desk.service: no service is named none               |
      | $.routes.grades.pool: no pool is named none                   |
      | $.routes.one.fallback: the fallbacks form a cycle             |
      | $.routes.slow.first_token_ms: over deadline_ms                |
      | $.routes.long.max_prompt_tokens: over the pool's context      |
      | $.services.empty.operations: no operation                     |
      | set.json.extra: unknown section                                    |
      | warning: $.plans.spare: not used                              |

  Scenario: Every error of a settings file is found
    Given a settings file with three errors
    When the program runs "settings check {settings}"
    Then it exits with 2
    And it says each of
      | $.host: Expected `str`           |
      | $.colour: unknown key            |
      | $.max_inflight: Expected `int`   |

  Scenario: Nobody answers
    When the program runs "status --control 127.0.0.1:9 --timeout-ms 600 --key-file {key}"
    Then it exits with 3

  Scenario: Arguments that do not fit
    When the program runs "publish"
    Then it exits with 2

  Scenario: What the program shows of a running system
    Given a ledger system
    When "entry-1" books "a"
    Then these commands exit with 0 and print JSON that has
      | command                 | text          |
      | status --json           | "set_version" |
      | show --json             | "ledger"      |
      | members --json          | "control-3"   |
      | explain version-1 --json | "published"  |
      | explain a --json        | "attempt"     |
    And "show none" exits with 1
