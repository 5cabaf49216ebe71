Feature: Nothing but the events of a stream reaches its caller

  # Guards against: an error's text, or its whole head, in the middle of a stream,
  # and a stream that ends as if it were complete.
  Scenario Outline: A stream broke off and the next engine sends <what>
    Given 4 engines that decode, of which the first breaks off after event 2
    When the next engine answers with <what>
    Then the caller gets events 1 to 6 once each, or a visibly broken answer
    And nothing but events

    Examples:
      | what                                  |
      | an error                              |
      | a refusal                             |
      | an error's text as its stream         |
      | an error's head within its stream     |
      | an error's head within an event       |
      | event 4 after event 2                 |
      | event 2 once more                     |
      | the end of its stream at once         |

  # Guards against: sound streams that a check cuts, or that seem to have no end.
  Scenario Outline: What a sound stream may contain passes byte for byte
    Then a stream with <what> passes unchanged

    Examples:
      | what                                |
      | ids from 0                          |
      | lines that end with CR and LF       |
      | a comment between events            |
      | an event with a version line first  |
      | several data lines in an event      |
      | ids that are no numbers             |
      | a time to reconnect alone           |
      | a type without data                 |
      | a type without data between events  |
      | a byte order mark                   |
      | lines that end with CR              |
      | mixed ends of lines                 |
      | digits and underscores in a name    |
      | a field without a value             |
      | an empty line too many              |
      | a comment at its end                |

  # Guards against: an error that passes for an event, or for nothing.
  Scenario Outline: What is no sound stream is not passed as one
    Then a stream with <what> is taken for broken

    Examples:
      | what                            |
      | an error's head within an event |
      | an error's text                 |
      | an error's text like a field    |
      | a word alone                    |
      | data without an id              |
      | a type and data without an id   |
      | a text for a time               |
      | an empty id                     |
      | a type at its end               |
      | half a comment at its end       |
      | half an event at its end        |
      | a second byte order mark        |

  # Guards against: events that wait for the one behind them, and a mark in the
  # middle of an answer.
  Scenario: Events pass at once, and without what belongs to another stream
    Then each event passes with its last byte, however its lines end
    And the mark of an engine that resumes a stream is dropped

  # Guards against: a channel that is closed without any answer, or behind comments
  # only, although no event has left yet.
  Scenario Outline: A stream that <fails> before its first event is answered <status>
    Given an engine whose stream <fails> before its first event
    Then the caller of that stream gets <status>, which does not deny that it ran

    Examples:
      | fails                               | status |
      | reaches its time limit              | 504    |
      | breaks off                          | 502    |
      | sends no event but an error         | 502    |
      | sends comments until its time limit | 504 |
      | sends a comment and breaks off      | 502 |
      | sends a comment and an error        | 502 |
      | sends comments without end          | 502 |

  # Guards against: comments that are lost, or that come too late to keep a caller.
  Scenario: Comments pass with the first event, at once behind it, and at the end
    Then a comment comes with the first event, and later ones without another event
    And a stream of comments alone passes unchanged at its end

  # Guards against: tokens that the product's own endpoint process passes over, so
  # that a sound answer counts as incomplete.
  Scenario Outline: An endpoint process reads streams with <what>
    Then an endpoint process reads both tokens of a stream with <what>

    Examples:
      | what               |
      | LF                 |
      | CR LF              |
      | CR                 |
      | ids and types      |
      | comments and times |
