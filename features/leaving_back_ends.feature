Feature: A back end that says it leaves, or wants no requests for a time, gets none

  # Guards against: requests at a back end that had said in its answers that it
  # leaves, for as long as the list did not show it.
  Scenario: A back end that says it leaves gets no more calls of any entry
    Given a platform with 5 control hosts, 2 entries, 2 services and 3 engines
    When document 3 is published at "core-1"
    Then every entry is ready within its bound
    When "i-desk1" begins to say that it leaves and a call of "/look/plain" hears it
    Then 30 calls of "/look/plain" at "front-1" are served and none reaches "i-desk1"
    And a second later 30 calls of "/look/plain" at "front-2" are served and none reaches "i-desk1"

  # Guards against: the same for a stream, whose engine answers two calls of
  # ours, to read the prompt and to write.
  Scenario: An engine that says it leaves gets no more streams
    Given a platform with 5 control hosts, 2 entries, 2 services and 3 engines
    When document 3 is published at "core-1"
    Then every entry is ready within its bound
    When the engine that writes for "/check/plain" begins to say that it leaves
    Then 20 calls of "/check/plain" at "front-1" are served and none reaches that engine

  # Guards against: requests at a back end inside the time for which it wanted
  # none, and callers refused because it looked idle.
  Scenario: A back end that turns away with a time gets nothing until it is over
    Given a platform with 5 control hosts, 2 entries, 2 services and 3 engines
    When document 3 is published at "core-1"
    Then every entry is ready within its bound
    When "i-desk1" turns a call of "/look/plain" away for 3 seconds
    Then 60 calls of "/look/plain" at "front-1" are served and none reaches "i-desk1"
    And 3 seconds later calls of "/look/plain" at "front-1" reach "i-desk1" again

  # Guards against: a fall back to back ends that leave, and callers held when
  # nobody is left.
  Scenario: Callers are refused at once when every back end leaves
    Given a platform with 5 control hosts, 2 entries, 2 services and 3 engines
    When document 3 is published at "core-1"
    Then every entry is ready within its bound
    When "i-desk1" begins to say that it leaves and a call of "/look/plain" hears it
    And "i-desk2" begins to say that it leaves and a call of "/look/plain" hears it
    Then 10 calls of "/look/plain" at "front-1" get 503 at once, with a time to come back

  # Guards against: a header that is not read, or nonsense that ends or blinds
  # an entry.
  Scenario Outline: Which headers say that a back end leaves
    Then the headers "<headers>" of an answer <tell> that its back end leaves

    Examples:
      | headers                                | tell        |
      | Server-Leaving: 1                      | tell        |
      | server-leaving: 1                      | tell        |
      | Server-Leaving:  1                     | tell        |
      | Server-Leaving: 0 + Server-Leaving: 1  | tell        |
      | Server-Leaving: 1 + Server-Leaving: 0  | tell        |
      | Server-Leaving: true                   | tell        |
      | Server-Leaving: 99999999999999999999   | tell        |
      | Server-Leaving: nan                    | tell        |
      | Server-Leaving: 0                      | do not tell |
      | Server-Leaving:                        | do not tell |
      | Leaving: 1                             | do not tell |
      | X-Other: Server-Leaving                | do not tell |

  # Guards against: news that is heard in some kinds of answers only, or taken
  # from somebody else's.
  Scenario Outline: Any answer of a back end tells that it leaves
    Given an entry that knows 2 back ends
    When back end 1 answers "<answer>" and says that it leaves
    Then the entry <knows> that back end 1 leaves

    Examples:
      | answer                         | knows         |
      | 200 with a seal                | knows         |
      | 200 of a stream                | knows         |
      | 200 without a seal             | knows         |
      | 500                            | knows         |
      | 503 not run                    | knows         |
      | 429 not run                    | knows         |
      | 200 to another request         | does not know |
      | 421 of another back end        | does not know |
      | its earlier answer once more   | knows         |

  # Guards against: a plan from before the news, and its back end noted as
  # failed or its resend as spent.
  Scenario Outline: A request that was planned before the news is not sent
    Given an entry that knows 2 back ends
    When a request connects to back end 1, which is heard to be <state> meanwhile
    Then nothing was sent to back end 1 and the request may still go to back end 2
    And back end 1 is not noted as failed and no resend is counted

    Examples:
      | state   |
      | leaving |
      | resting |

  # Guards against: a prompt read, or a stream begun, at an engine that left
  # while the request waited.
  Scenario: An engine that leaves while the prompt is read gets no stream
    Given a model request whose prompt was read, and no resend is allowed
    When one engine that writes leaves while the prompt is read
    Then the stream went to the other engine that writes

  # Guards against: a fall back to a back end that leaves when the others fail.
  Scenario: Back ends that leave are no last resort
    Given an entry that knows 2 back ends
    When back end 1 says that it leaves and back end 2 cannot be reached
    Then only back end 2 is a candidate

  # Guards against: news forgotten while its process runs, and a new process
  # kept out by what an older one said.
  Scenario Outline: What a back end said holds as long as its process
    Given an entry that knows 2 back ends
    When back end 1, started at 1000, says that it leaves
    And <seconds> s later <what>
    Then the entry <knows> that back end 1 leaves

    Examples:
      | seconds | what                                               | knows         |
      | 10      | it answers without the header                      | knows         |
      | 10      | the list shows it as ready after it had left       | knows         |
      | 10      | the list drops it for 2 s                          | knows         |
      | 10      | the list drops it for 6 s                          | knows         |
      | 10      | the list shows it started at 2000                  | does not know |
      | 10      | the list shows it started at 500                   | knows         |
      | 10      | the list does not show when it started             | knows         |
      | 1       | the list shows it started at 2000                  | knows         |
      | 10      | the list shows it elsewhere with no time of start  | does not know |

  # Guards against: a back end kept out for good that the list, which never shows
  # when it started, did not show for long.
  Scenario: Without a time of start a long absence from the list is an end
    Given an entry that knows 2 back ends
    When back end 1, started at 0, says that it leaves
    And 10 s later the list drops it for 6 s
    Then the entry does not know that back end 1 leaves

  # Guards against: a sound start kept out by what is told late of an earlier one.
  Scenario Outline: What another host heard is of the start that it names
    Given an entry that knows 2 back ends
    When the leader tells that back end 1, started at <told>, leaves
    And 1 s later the list shows it started at 2000
    Then the entry <knows> that back end 1 leaves

    Examples:
      | told | knows         |
      | 1000 | does not know |
      | 2000 | knows         |

  # Guards against: the same, by a late answer to a request of before.
  Scenario: A late answer tells nothing of the start that is listed since
    Given an entry that knows 2 back ends
    When back end 1, started at 1000, says so after the list shows it started at 2000
    Then the entry does not know that back end 1 leaves

  # Guards against: a crowd of names that come and go.
  Scenario: Only so many back ends are remembered
    Given an entry that knows 2 back ends
    When 20000 back ends that are not listed are told to leave
    Then at most 5000 are remembered, and none 10 s after the next list

  # Guards against: each entry that has to ask a leaving back end itself.
  Scenario: Entries, old and new, and a new leader hear that a back end leaves
    Given 3 entries that share 2 back ends
    When back end 1 tells entry 1 that it leaves
    Then all 3 entries know that back end 1 leaves
    When entry 2 starts anew
    Then all 3 entries know that back end 1 leaves
    When another host leads
    And entry 3 starts anew
    Then all 3 entries know that back end 1 leaves

  # Guards against: orders for engines that leave.
  Scenario: A leader orders no role of engines that leave
    Given a leader with 9 engines of which 3 read
    When all engines that write tell it that they leave
    And it looks at them for 30 seconds
    Then it has ordered no engine that leaves

  # Guards against: an order or a call to an engine whose reply was not read.
  Scenario Outline: The leader hears it in any reply of an engine
    Given an engine that replies to "<call>" that it leaves
    Then the leader knows that it leaves after "<call>"

    Examples:
      | call     |
      | a report |
      | an order |
      | its list |

  # Guards against: a time that is not read, or nonsense that ends or blinds an
  # entry.
  Scenario Outline: Which headers say for how long a back end wants no requests
    Then a <status> with the headers "<headers>" asks for <seconds> s of rest

    Examples:
      | status | headers                                    | seconds |
      | 503    | Retry-After: 5                             | 5       |
      | 503    | retry-after: 0.25                          | 0.25    |
      | 503    | Retry-After: 2 + Retry-After: 7            | 7       |
      | 503    | Retry-After: soon + Retry-After: 7         | 7       |
      | 503    | Retry-After: 0                             | 0       |
      | 503    | Retry-After: -1                            | 0       |
      | 503    | Retry-After: nan                           | 0       |
      | 503    | Retry-After: inf                           | 0       |
      | 503    | Retry-After: 1_0                           | 0       |
      | 503    | Retry-After: ٣                             | 0       |
      | 503    | Retry-After: soon                          | 0       |
      | 503    | Retry-After: Wed, 21 Oct 2026 07:28:00 GMT | 0       |
      | 503    | Retry-After:                               | 0       |
      | 503    | X-Other: 5                                 | 0       |
      | 200    | Retry-After: 5                             | 0       |
      | 429    | Retry-After: 5                             | 0       |

  # Guards against: requests inside the time in which a back end wants none, by
  # a fall back, a shorter time named later, or an answer without one.
  Scenario Outline: A back end rests as long as it said, and for this entry
    Given an entry that knows 2 back ends
    When back end 1 turns a request away for <seconds> s
    And <later> s later <what>
    Then back end 1 is <state>

    Examples:
      | seconds | later | what                                       | state     |
      | 5       | 4     | back end 2 cannot be reached               | kept away |
      | 5       | 6     | back end 2 cannot be reached               | used      |
      | 5       | 2     | it turns a request away for 1 s            | kept away |
      | 5       | 4     | it answers without the header              | kept away |
      | 5       | 4     | the list shows it elsewhere with no time of start | used      |
      | 5       | 1     | the list shows it elsewhere with no time of start | kept away |
      | 5       | 1     | the list drops it for 2 s                  | kept away |
      | 5       | 4     | a later start of it names 4 s              | kept away |
      | 1e300   | 500   | back end 2 cannot be reached               | kept away |
      | 1e300   | 601   | back end 2 cannot be reached               | used      |

  # Guards against: callers held, or told to come back too soon, when every back
  # end rests.
  Scenario: Callers are told when the first back end takes requests again
    Given an entry that knows 2 back ends
    When back end 1 turns a request away for 5 s
    And back end 2 turns a request away for 3 s
    Then requests are refused as not run, with 3 to 6 s to come back

  # Guards against: calls of our own that a resting engine did not want.
  Scenario: The leader and the entries leave an engine that rests alone
    Given an engine that replies to "its list" with 503 and 4 s to come back
    Then the leader calls it no more for 4 s
    And no entry that it turned away frees memory there

  # Guards against: a back end that looks idle because it turns requests away at
  # once, draws the traffic, and spends the resends of the others.
  Scenario: A back end that turns away and names no time draws no traffic
    Given 1 entries that share 4 back ends
    When back end 1 turns every request away at once
    And 1080 requests come in 9 s
    Then no request was refused
    And back end 1 got at least 10 requests in the last 9 s
