Feature: The fakes that the other features rely on
  Each fake of the testbed does what its interface says, and its record
  tells what happened to it.

  Scenario: An answer of the fake engine can be checked by content
    Given a fake engine
    When the prompt "grade of lot 7" is streamed with 40 tokens
    Then the streamed text is the expected answer and has a finish marker

  Scenario: A stream resumes at the next token
    Given a fake engine
    When the prompt "grade of lot 7" is streamed with 40 tokens from token 25
    Then the streamed text is the expected answer from token 25

  Scenario: A cached prefix is told by events that come late
    Given a fake engine with "--event-loss 0 --event-lag 0.2"
    When a prompt of 4100 tokens is streamed
    Then 2 pieces are told as stored

  Scenario: KV cache moves between engines by ticket
    Given a fake engine
    And a second fake engine
    When a prompt of 4100 tokens is streamed
    Then a ticket for it can be imported by the second engine
    And an unknown ticket is refused with 404

  Scenario: The fake engine records conflicting orders
    Given a fake engine with "--no-fencing --order-seconds 0.4"
    When the orders 5 and 4 are sent at once
    Then its record shows the order 4 begun with the conflict "order-running"

  Scenario: A fencing engine refuses an old order and serves nothing meanwhile
    Given a fake engine with "--fencing --order-seconds 0.4"
    When the order 5 is sent
    Then a completion is refused with 503
    And after the order is done the order 4 is refused with "stale-order"

  Scenario: A prompt that crashes the engine ends its process
    Given a fake engine
    When the prompt "CRASHENGINE now" is streamed with 40 tokens
    Then the engine has exited and its record names the request

  Scenario: The fake service records an execution before it answers
    Given a fake service
    When the fault "drop-answer" is set and a booking is sent
    Then no answer comes and the record holds 1 execution
    And with the fault "none" the booking gets its receipt

  Scenario: The proxy holds bytes and releases them
    Given a fake engine behind a proxy
    When the link is put on "hold" and a completion is sent
    Then the engine has no request
    And on "pass" the completion is answered

  Scenario: The proxy swallows bytes and resets the connection afterwards
    Given a fake engine behind a proxy
    When the link is put on "drop" and a completion is sent
    Then the engine has no request
    And on "pass" the completion fails

  Scenario: The host list tells a withdrawal late
    Given a fake host list with host "plovdiv-a-1" and a lag of 2 seconds
    When the host "plovdiv-a-1" is put on "leaving"
    Then the list shows it "live" at first and "leaving" later

  Scenario: The weight store limits the rate
    Given a fake weight store that answers 2 reads in 30 seconds
    When 3 reads are sent at once
    Then the last one is refused with 429
