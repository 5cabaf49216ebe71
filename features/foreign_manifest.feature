Feature: Manifests that cannot be used

  # Guards against: a manifest that no process can pack or use is answered 500
  # for ever, or acknowledged and then fails the requests of its routes.
  Scenario Outline: An unusable manifest is invalid
    When an operator sends a manifest with <odd>
    Then it is answered 400 and not published

    Examples:
      | odd                                 |
      | nesting in an unknown field         |
      | nesting at its top                  |
      | a version of 64 bits                |
      | a version of 300 digits             |
      | a weight of 300 digits              |
      | a time limit of 300 digits          |
      | a token size of 300 digits          |
      | an idle time of 64 bits             |
      | half a surrogate pair in a name     |
      | bytes that are no UTF-8 in a name   |
      | bytes that are no UTF-8 elsewhere   |
      | an unknown service beside a split   |
      | control bytes in a name             |
      | two documents                       |
      | customers that share a key          |
      | a customer without a name           |
      | a customer whose name is a line     |
      | two customers of one name           |
      | an empty key                        |
      | a key that is a number              |
      | a customer without keys at all      |

  Scenario: A usable manifest is published
    When an operator sends a manifest with nothing odd
    Then it is answered 200 and published
