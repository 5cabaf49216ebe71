Feature: A request that crashes back ends reaches few of them

  # Guards against: engines crash one after the other under requests that
  # share a prompt part and are otherwise all different.
  Scenario: Requests that share a deadly prompt part are refused, though no two are alike
    Given 1 entry that knows 6 engines
    When requests with the parts "a f00d" and a last part of their own crash 3 engines
    Then a request with the parts "a f00d" is refused as not run before any send
