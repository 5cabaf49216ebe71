Feature: The whole path on the users' platform, against stand-ins of ours

  Scenario: From three seeds to served requests
    Given a platform with 5 control hosts, 2 entries, 2 services and 3 engines
    Then each entry answers 503 and is not ready before a document is published
    When document 3 is published at "core-4"
    Then every entry is ready within its bound
    And a call of "/book/plain" runs once and comes back sealed
    And a call of "/nowhere/x" gets 404
    And a stream of "/check/plain" comes back whole after its prompt was read apart
    And no handle is left at an engine

  Scenario: Faults of answers, on routes that may and may not repeat
    Given a platform with 5 control hosts, 2 entries, 2 services and 3 engines
    When document 3 is published at "core-1"
    Then every entry is ready within its bound
    And a call of "/book/reset" gets 502 and ran once
    And a call of "/book/cut" gets 502 and ran once
    And a call of "/book/no-seal" gets 502 and ran once
    And a call of "/book/other-id" gets 502 and ran once
    And a call of "/book/garbage" gets 502 and ran once
    And a call of "/book/mute" gets 504 and ran once
    And a call of "/book/fails" gets 500 and ran once
    And a call of "/look/reset" gets 502 and ran twice
    And a call of "/look/fails" gets 500 and ran twice
    And a call of "/book/decline" gets 503 with a time to come back and never ran
    And 6 calls of "/look/extra" in a row each get their own answer
    And a stream of "/grade/breaks" comes back whole although it broke off
    And a stream of "/check/breaks" ends without the end of its body

  # Guards against: an answer without length or chunks that is taken for whole
  # when it broke off, or for broken when it is whole.
  Scenario: An answer with neither a length nor chunks ends with its connection
    Given a platform with 5 control hosts, 2 entries, 2 services and 3 engines
    When document 3 is published at "core-1"
    Then every entry is ready within its bound
    And a call of "/book/bare" runs once and comes back sealed
    And a call of "/book/bare-reset" gets 502 and ran once
    And a stream of "/check/bare" comes back whole after its prompt was read apart
    And a stream of "/grade/bare-breaks" comes back whole although it broke off
    And a stream of "/check/bare-breaks" ends without the end of its body

  Scenario: What callers send under the system's names goes nowhere
    Given a platform with 5 control hosts, 2 entries, 2 services and 3 engines
    When document 3 is published at "core-1"
    Then every entry is ready within its bound
    And a head of 20,000 bytes gets 431 and a body of 5,000 bytes gets 413
    And a call of "/book/a%2Fb?x=%20y" with forged system headers passes clean

  Scenario: A caller that leaves ends the work
    Given a platform with 5 control hosts, 2 entries, 2 services and 3 engines
    When document 3 is published at "core-1"
    Then every entry is ready within its bound
    And a caller that leaves "/grade/slow" ends the stream within half a second

  Scenario: Invalid documents are refused, and a bad entry spoils no other
    Given a platform with 5 control hosts, 2 entries, 2 services and 3 engines
    And the list has entries that cannot be read
    When document 3 is published at "core-2"
    Then every entry is ready within its bound
    And invalid documents get 400 and document 3 stays in force
    And a call of "/book/plain" runs once and comes back sealed

  Scenario: Two disks lost right after an acknowledgement
    Given a platform with 5 control hosts, 2 entries, 2 services and 3 engines
    When document 3 is published at "core-1"
    Then every entry is ready within its bound
    When document 9 is published at "core-2"
    And "core-1" and "core-3" lose their disks and start again
    Then document 9 is read back at every control host
    And document 5 is acknowledged and document 9 stays in force

  Scenario: All control hosts are killed and start again
    Given a platform with 5 control hosts, 2 entries, 2 services and 3 engines
    When document 3 is published at "core-1"
    Then every entry is ready within its bound
    When every control host is killed and started again
    Then document 3 is read back at every control host

  Scenario: A back end that leaves gets no more work
    Given a platform with 5 control hosts, 2 entries, 2 services and 3 engines
    When document 3 is published at "core-1"
    Then every entry is ready within its bound
    When a service is listed as leaving for 2 seconds
    Then 20 calls of "/look/plain" all run elsewhere

  # Guards against: an odd entry of the list hides that a back end leaves, or
  # ends a process.
  Scenario: A back end that leaves is noticed beside odd entries of the list
    Given a platform with 5 control hosts, 2 entries, 2 services and 3 engines
    When document 3 is published at "core-1"
    Then every entry is ready within its bound
    When other writers leave odd entries in the list
    And a service is listed as leaving for 2 seconds
    Then 20 calls of "/look/plain" all run elsewhere
    And no process has failed at a task or ended

  Scenario: A planned stop of an entry cuts nothing
    Given a platform with 5 control hosts, 2 entries, 2 services and 3 engines
    When document 3 is published at "core-1"
    Then every entry is ready within its bound
    And a stream that runs while its entry is stopped comes back whole

  Scenario: An entry that restarts with its control hosts takes no older document
    Given a platform with 5 control hosts, 2 entries, 2 services and 3 engines
    When document 3 is published at "core-1"
    Then every entry is ready within its bound
    When 30 documents follow and the last one drops the route "/look/"
    And every process is killed and started again
    Then no call of "/look/plain" is served while the entry comes back

  Scenario: A hang-up signal and changed settings cut nothing
    Given a platform with 5 control hosts, 2 entries, 2 services and 3 engines
    When document 3 is published at "core-1"
    Then every entry is ready within its bound
    And a stream that runs while every process gets SIGHUP comes back whole
    And every process still runs

  # Guards against: "not run" for a request that ran, and a second run, because
  # a back end wrote an earlier refusal once more on a kept connection.
  Scenario: A refusal that comes once more is not taken for the next answer
    Given a platform with 5 control hosts, 2 entries, 2 services and 3 engines
    When document 3 is published at "core-1"
    Then every entry is ready within its bound
    And 4 calls of "/book/decline-twice" each leave the next calls of "/book/plain" to run once

  # Guards against: the answer of one request for another one, and failures of
  # calls whose own answer came behind it.
  Scenario: A late second answer is passed over, and the own answer delivered
    Given a platform with 5 control hosts, 2 entries, 2 services and 3 engines
    When document 3 is published at "core-1"
    Then every entry is ready within its bound
    And 8 calls of "/book/late-extra" in a row each run once and get their own answer
