Feature: Requests belong to customers, which entries tell by their keys

  # Guards against: a request that runs without a key of a customer, and a key
  # that is read otherwise than its caller meant it.
  Scenario Outline: Only one well-formed key of a customer is served
    Given an entry with the customers ana and bo
    When a caller calls "/look/plain" with "<headers>"
    Then it is answered <status> and the key counts as "<flaw>"

    Examples:
      | headers                                                  | status | flaw      |
      | Authorization: Bearer key-1                              | 200    | none      |
      | authorization: bearer  key-2                             | 200    | none      |
      | Authorization: Bearer KEY-1                              | 401    | unknown   |
      | Authorization: Bearer key-9                              | 401    | unknown   |
      | Authorization: Bearer key-1 key-3                        | 401    | malformed |
      | Authorization: Bearer                                    | 401    | malformed |
      | Authorization: Basic key-1                               | 401    | malformed |
      | Authorization: key-1                                     | 401    | malformed |
      | Authorization: Bearer key-1 + Authorization: Bearer key-1 | 401   | malformed |
      | Kingcuptrestle-Tenant: ana                               | 401    | missing   |

  # Guards against: a caller's key at a back end, and a name that a caller gave
  # itself.
  Scenario Outline: Back ends get the customer's name and never a key
    Given an entry with the customers ana and bo
    When a caller calls "<path>" with "<headers>"
    Then the back end gets the customer "<customer>" and no key

    Examples:
      | path        | headers                                                    | customer |
      | /look/plain | Authorization: Bearer key-3 + Kingcuptrestle-Tenant: ana   | bo       |
      | /look/reset | Authorization: Bearer key-2                                | ana      |
      | /open/plain | Kingcuptrestle-Tenant: ana                                 |          |
      | /open/plain | Authorization: Bearer key-9 + Kingcuptrestle-Tenant: bo    |          |
      | /open/plain | Authorization: Bearer key-1                                | ana      |

  # Guards against: a change on the wire for sets that name no customers.
  Scenario: Without customers, requests pass as they came
    Given an entry without customers
    When a caller calls "/look/plain" with "Authorization: Bearer key-9"
    Then the back end gets the header "authorization" as "Bearer key-9"

  # Guards against: the route's urgency for a customer that has its own.
  Scenario Outline: A customer's urgency goes before the route's
    Given an entry with the customers ana and bo
    Then a request of "<customer>" has the urgency <urgency>

    Examples:
      | customer | urgency |
      | ana      | 0       |
      | bo       | 4       |

  # Guards against: an operator's new key that is refused by an entry which has
  # not heard of it yet.
  Scenario: A key that is newer than the routes of an entry is served
    Given an entry with the customers ana and bo
    And its routes were confirmed before the next call
    When a caller calls "/look/plain" with "Authorization: Bearer key-7"
    And version 2 arrives, in which bo has "key-7" too
    Then it is answered 200 and the key counts as "none"

  # Guards against: made-up keys that are never denied, or denied too early.
  Scenario: A made-up key is denied once the routes are confirmed
    Given an entry with the customers ana and bo
    And its routes were confirmed before the next call
    When a caller calls "/look/plain" with "Authorization: Bearer key-9"
    Then it is not answered yet
    When its routes are confirmed
    Then it is answered 401 and the key counts as "unknown"

  # Guards against: callers held for as long as control cannot be reached.
  Scenario: Without a confirmation in time a key is not denied but refused
    Given an entry with the customers ana and bo
    And its routes were confirmed before the next call
    When a caller calls "/look/plain" with "Authorization: Bearer key-9"
    Then it is answered 503 and the key counts as "unconfirmed"

  # Guards against: thousands of made-up keys that take an entry's memory.
  Scenario: Of many made-up keys at once only so many wait
    Given an entry with the customers ana and bo
    And its routes were confirmed before the next call
    When 300 callers call with a made-up key each
    Then 44 of them are refused at once

  # Guards against: a key in a log line, an error or the text of a type.
  Scenario: No key shows in what an entry tells
    Given an entry with the customers ana and bo
    When a caller calls "/look/plain" with "Authorization: Bearer key-secret"
    Then "key-secret" shows neither in the answer nor in the log

  # Guards against: a key that works again after its customer lost it, at an
  # entry that was stopped while the set changed and has started again.
  Scenario: A key that was taken away stays away at an entry that starts again
    Given a platform with 5 control hosts, 2 entries, 2 services and 3 engines
    When document 3 is published with the key "key-1" of ana
    Then a call of "/look/plain" with the key "key-1" gets 200 at "front-2"
    When "front-2" stands still while document 4 takes the key "key-1" away
    And entry "front-2" is killed and started again
    Then a call of "/look/plain" with the key "key-1" gets 401 at "front-2"

  # Guards against: shares that rest on what is served alone, so that a customer
  # which is always refused seems to ask for nothing.
  Scenario: A request that is refused for want of room counts for its customer
    Given an entry with the customers ana and bo
    And its only back end has no room
    When a caller calls "/look/plain" with "Authorization: Bearer key-1"
    Then it is answered 503 and the key counts as "none"
    And 1 refusal of ana is told to the leader
