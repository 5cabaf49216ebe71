Feature: Every entry knows the load of all, however many there are
  Streams between entries and the leader's table, without a network.

  Scenario: What another entry has just sent counts after one push
    Given 2 entries with streams to a leader
    When entry 1 sends a prompt of 10000 tokens to engine "e1"
    And the leader pushes
    Then entry 2 counts 1 prompts and 10000 tokens of others at engine "e1"
    And entry 1 counts 0 prompts and 0 tokens of others at engine "e1"

  Scenario: Work that has ended counts no longer after one push
    Given 2 entries with streams to a leader
    When entry 1 sends a prompt of 10000 tokens to engine "e1"
    And the leader pushes
    And the prompt of entry 1 is done
    And the leader pushes
    Then entry 2 counts 0 prompts and 0 tokens of others at engine "e1"

  Scenario: An entry's own work on its way to the leader is not counted twice
    Given 2 entries with streams to a leader
    When entry 1 sends a prompt of 10000 tokens to engine "e1"
    And entry 2 sends a prompt of 500 tokens to engine "e1"
    And the leader pushes what entry 1 reported before it heard of entry 2
    Then entry 2 counts 1 prompts and 10000 tokens of others at engine "e1"

  Scenario: With 690 entries no view stops counting
    Given 690 entries with streams to a leader
    When each entry has 1 request at engine "e1"
    And the leader pushes
    Then entry 2 counts 689 requests of others at engine "e1"

  Scenario: A change travels alone, whatever the number of entries
    Given 690 entries with streams to a leader
    When each entry has 1 request at engine "e1"
    And the leader pushes
    And entry 1 sends a prompt of 10000 tokens to engine "e2"
    And the leader pushes
    Then the last push told of 1 back end

  Scenario: Nobody leads for a while
    Given 2 entries with streams to a leader
    When each entry has 40 requests at engine "e1"
    And the leader pushes
    Then after 0.4 s without a push entry 2 counts 40 requests of others
    And after 2.5 s without a push entry 2 counts 20 requests of others
    And after 30.0 s without a push entry 2 counts 0 requests of others

  Scenario: Another host leads and learns all loads from the streams
    Given 2 entries with streams to a leader
    And each entry has 3 requests at engine "e1"
    When another host leads, to which both entries open streams
    And the leader pushes
    Then entry 1 counts 3 requests of others at engine "e1"
    And entry 2 counts 3 requests of others at engine "e1"

  Scenario: A leader that was replaced ends its streams
    Given 2 entries with streams to a leader
    When the host leads no longer
    And the leader pushes
    Then every stream is closed and no load is summed

  Scenario: An entry that ends takes its loads along
    Given 2 entries with streams to a leader
    And each entry has 3 requests at engine "e1"
    When entry 1 ends
    And the leader pushes
    Then entry 2 counts 0 requests of others at engine "e1"

  Scenario: An entry that is silent takes its loads along
    Given 2 entries with streams to a leader
    And each entry has 3 requests at engine "e1"
    When entry 1 is silent for longer than the leader waits
    And the leader pushes
    Then entry 2 counts 0 requests of others at engine "e1"

  Scenario: An entry that starts again replaces what it had
    Given 2 entries with streams to a leader
    And each entry has 3 requests at engine "e1"
    When entry 1 starts again without work
    And the leader pushes
    Then entry 2 counts 0 requests of others at engine "e1"

  Scenario: An entry that does not read holds nobody up
    Given 2 entries with streams to a leader
    When entry 1 reads nothing of what is pushed
    And entry 2 sends a prompt of 500 tokens to engine "e1"
    And the leader pushes
    Then the stream of entry 1 is closed
    And entry 2 has been pushed to

  Scenario Outline: Figures that no load can have end only their stream
    Given 2 entries with streams to a leader
    And each entry has 3 requests at engine "e1"
    When entry 1 reports <fault>
    And the leader pushes
    Then the stream of entry 1 ended with the error "bad-frame"
    And entry 2 counts 0 requests of others at engine "e1"

    Examples:
      | fault             |
      | a negative load   |
      | a load too large  |
      | sums cut short    |
      | sums not a number |

  Scenario: A push that is none ends the stream at the entry
    Given 2 entries with streams to a leader
    Then a push of foreign bytes is refused by an entry with "bad-frame"

  Scenario: 68 entries meet a burst, each with a prompt at a time
    Given 68 entries with streams to a leader
    And 26 engines that read and 13 that decode
    When 136 different long prompts are planned, two by each entry in turn
    Then every reader has prompts and none has over 1.6 times the mean

  Scenario: A cold start of all entries at one moment
    Given 20 entries with streams to a leader
    And 6 engines that read and 3 that decode
    When 60 different long prompts are planned before the first push
    Then every reader has prompts and none has over twice the mean

  Scenario: The holder of a beginning is overloaded by others
    Given 68 entries with streams to a leader
    And 26 engines that read and 13 that decode
    And every entry knows that reader 5 holds the beginning of a long prompt
    When each entry plans the long prompt in turn
    Then reader 5 gets the first ones, and no reader over 12 of them
