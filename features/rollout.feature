Feature: A model version reaches a pool's engines one after another

  Background:
    Given a Medena system with 3 readers whose orders take 1 second

  Scenario: A new version is loaded and no request is cut
    When callers read certificates all the time
    And model version "2" is published
    Then all 3 readers have loaded version "2" within 30 s
    And at most 1 reader loaded at a time
    And no order has cut a request
    And every read so far was whole

  Scenario: A version that fails takes one engine away and not the pool
    Given engines on which orders fail
    When model version "2" is published
    Then the rollout is halted within 20 s
    And 1 reader has begun to load version "2"
    When orders work again
    And model version "1" is published
    Then the rollout is done within 20 s
