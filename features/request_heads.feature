Feature: Heads and bodies of callers' requests are read strictly

  # Guards against a request hidden in another one's body, which ran at a back end.
  Scenario Outline: A request with <fault> is refused, and nothing behind it runs
    Given a callers' server that notes what runs
    When a caller sends "<line>" and "<head>" with a request in the body
    Then it reads only 400 and the end of the connection
    And nothing ran

    Examples:
      | fault                | line               | head                                               |
      | two lengths          | POST /x HTTP/1.1   | Host: h\r\nContent-Length: 0\r\nContent-Length: 33 |
      | one length twice     | POST /x HTTP/1.1   | Host: h\r\nContent-Length: 0\r\nContent-Length: 0  |
      | listed lengths       | POST /x HTTP/1.1   | Host: h\r\nContent-Length: 0, 0                    |
      | length and chunks    | POST /x HTTP/1.1   | Host: h\r\nContent-Length: 5\r\nTransfer-Encoding: chunked |
      | a signed length      | POST /x HTTP/1.1   | Host: h\r\nContent-Length: +0                      |
      | a negative length    | POST /x HTTP/1.1   | Host: h\r\nContent-Length: -1                      |
      | an underscore        | POST /x HTTP/1.1   | Host: h\r\nContent-Length: 0_0                     |
      | other digits         | POST /x HTTP/1.1   | Host: h\r\nContent-Length: \xd9\xa0                |
      | superscript digits   | POST /x HTTP/1.1   | Host: h\r\nContent-Length: \xb2                    |
      | a hexadecimal length | POST /x HTTP/1.1   | Host: h\r\nContent-Length: 0x0                     |
      | a spaced length      | POST /x HTTP/1.1   | Host: h\r\nContent-Length: 0 0                     |
      | an empty length      | POST /x HTTP/1.1   | Host: h\r\nContent-Length:                         |
      | a huge length        | POST /x HTTP/1.1   | Host: h\r\nContent-Length: 9999999999999999999     |
      | another coding       | POST /x HTTP/1.1   | Host: h\r\nTransfer-Encoding: gzip                 |
      | two codings          | POST /x HTTP/1.1   | Host: h\r\nTransfer-Encoding: gzip, chunked        |
      | chunked twice        | POST /x HTTP/1.1   | Host: h\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked |
      | a hidden coding      | POST /x HTTP/1.1   | Host: h\r\nTransfer-Encoding: \x0bchunked          |
      | chunks in 1.0        | POST /x HTTP/1.0   | Host: h\r\nTransfer-Encoding: chunked              |
      | no colon             | POST /x HTTP/1.1   | Host: h\r\nno header\r\nContent-Length: 33         |
      | space before colon   | POST /x HTTP/1.1   | Host: h\r\nContent-Length : 33                     |
      | a folded line        | POST /x HTTP/1.1   | Host: h\r\nA: b\r\n Content-Length: 33             |
      | a leading space      | POST /x HTTP/1.1   | \x20Host: h                                        |
      | a bare LF            | POST /x HTTP/1.1   | Host: h\nContent-Length: 33                        |
      | a bare CR            | POST /x HTTP/1.1   | Host: h\r\nA: b\rContent-Length: 33                |
      | a NUL                | POST /x HTTP/1.1   | Host: h\r\nA: \x00b                                |
      | a name of no token   | POST /x HTTP/1.1   | Host: h\r\nA(b): c                                 |
      | an empty name        | POST /x HTTP/1.1   | Host: h\r\n: c                                     |
      | two hosts            | POST /x HTTP/1.1   | Host: h\r\nHost: i                                 |
      | no host              | POST /x HTTP/1.1   | A: b                                               |
      | a host with a space  | POST /x HTTP/1.1   | Host: h i                                          |
      | an absolute target   | POST http://i/x HTTP/1.1 | Host: h                                      |
      | a bare target        | POST x HTTP/1.1    | Host: h                                            |
      | an unknown version   | POST /x HTTP/1.9   | Host: h                                            |
      | no version           | GET /x             | Host: h                                            |
      | a spaced target      | POST /x\xa0y HTTP/1.1 | Host: h                                         |
      | a doubled space      | POST  /x HTTP/1.1  | Host: h                                            |

  # Guards against a body whose end is found elsewhere than the caller meant it.
  Scenario Outline: A body with <fault> ends its connection, and nothing behind it runs
    Given a callers' server that notes what runs
    When a caller sends the chunks "<chunks>" with a request behind them
    Then it reads only 400 and the end of the connection
    And nothing ran

    Examples:
      | fault                | chunks                                        |
      | a prefixed size      | 0x5\r\nhello\r\n0\r\n\r\n                     |
      | a signed size        | +5\r\nhello\r\n0\r\n\r\n                      |
      | a negative size      | -5\r\nhello\r\n0\r\n\r\n                      |
      | an underscore        | 0_5\r\nhello\r\n0\r\n\r\n                     |
      | an empty size        | \r\nhello\r\n0\r\n\r\n                        |
      | a huge size          | fffffffffffffff5\r\nhello\r\n0\r\n\r\n        |
      | an endless size      | 00000000000000000005\r\nhello\r\n0\r\n\r\n    |
      | a bare LF            | 5\nhello\r\n0\r\n\r\n                         |
      | a short chunk        | 6\r\nhello\r\n0\r\n\r\n                       |
      | a long chunk         | 4\r\nhello\r\n0\r\n\r\n                       |
      | a bare CR            | 5;a\rb\r\nhello\r\n0\r\n\r\n                  |
      | a malformed trailer  | 5\r\nhello\r\n0\r\nno trailer\r\n\r\n         |
      | a length behind      | 5\r\nhello\r\n0\r\nContent-Length: 33\r\n\r\n |

  # Guards against sound requests that are refused by the strict reading.
  Scenario Outline: A request with <matter> is read whole
    Given a callers' server that notes what runs
    When a caller sends the sound request "<request>" twice
    Then "<body>" ran twice

    Examples:
      | matter             | body  | request                                                                 |
      | no body            |       | GET /x?a=b&c=%20 HTTP/1.1\r\nHost: h\r\n\r\n                            |
      | spaces at a value  | hello | POST /x HTTP/1.1\r\nHost:h\r\nContent-Length: \t5 \t\r\n\r\nhello       |
      | other capitals     | hello | POST /x HTTP/1.1\r\nHOST: h\r\ncontent-LENGTH: 5\r\n\r\nhello           |
      | leading zeros      | hello | POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 005\r\n\r\nhello         |
      | an empty value     | hello | POST /x HTTP/1.1\r\nHost: h\r\nA:\r\nContent-Length: 5\r\n\r\nhello     |
      | bytes above ASCII  | hello | POST /x HTTP/1.1\r\nHost: h\r\nA: \xc3\xa9\r\nContent-Length: 5\r\n\r\nhello |
      | a port             | hello | POST /x HTTP/1.1\r\nHost: h.i:80\r\nContent-Length: 5\r\n\r\nhello      |
      | chunks             | hello | POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: Chunked\r\n\r\n2\r\nhe\r\n3\r\nllo\r\n0\r\n\r\n |
      | extensions         | hello | POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n05 ;a=b;c="d"\r\nhello\r\n0;e\r\n\r\n |
      | a trailer          | hello | POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\nA: b\r\n\r\n |
      | HTTP/1.0           | hello | POST /x HTTP/1.0\r\nConnection: keep-alive\r\nContent-Length: 5\r\n\r\nhello |
      | an upgrade         | hello | POST /x HTTP/1.1\r\nHost: h\r\nConnection: upgrade\r\nUpgrade: websocket\r\nContent-Length: 5\r\n\r\nhello |
      | a body of a GET    | hello | GET /x HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhello            |

  # Guards against a caller that waits for leave to send its body.
  Scenario: A caller that expects 100 Continue gets it before its answer
    Given a callers' server that notes what runs
    When a caller sends "POST /x HTTP/1.1\r\nHost: h\r\nExpect: 100-Continue\r\nContent-Length: 5\r\n\r\n"
    Then it reads "HTTP/1.1 100 Continue\r\n\r\n"
    When a caller sends "hello"
    Then it reads "HTTP/1.1 200 OK\r\n"

  # Guards against what the platform tells as a way into the heads that we send.
  Scenario Outline: A head with <fault> is not sent to a back end
    When a request to "<target>" of "<host>" is written with the header "<name>" of "<text>"
    Then no byte of it is sent

    Examples:
      | fault              | target            | host     | name              | text            |
      | a line in a value  | /x                | h        | A                 | b\r\nC: d       |
      | a bare CR          | /x                | h        | A                 | b\rc            |
      | a NUL              | /x                | h        | A                 | b\x00           |
      | a line in a name   | /x                | h        | A: b\r\nC         | d               |
      | a line in a target | /x HTTP/1.1\r\nA: | h        | B                 | c               |
      | a line in a host   | /x                | h\r\nA:b | C                 | d               |
      | a second length    | /x                | h        | content-length    | 5               |
      | a second framing   | /x                | h        | Transfer-Encoding | chunked         |
      | wide characters    | /x                | h        | A                 | \u2603          |

  # Guards against headers that a caller hides from us or shows to one side only.
  Scenario: What says which request it is reaches the back end, once
    Given a request whose connection options name its id, on a second line
    Then its id is forwarded, and the other option is not
    When its id is repeated
    Then the request is refused
