Feature: Requests that arrive in pieces on a kept connection

  # Guards against a request hidden in another one's body that runs when the outer
  # one comes in pieces, behind a request that was answered on its connection.
  Scenario Outline: A malformed request in two pieces is refused, and nothing behind it runs
    Given a callers' server that notes what runs
    And its time limits are far away
    Then "<head>" with a request in its body is refused wherever it is cut

    Examples:
      | head                                                                 |
      | POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\nContent-Length: 28 |
      | POST /x HTTP/1.1\r\nHost: h\r\nno header\r\nContent-Length: 28        |
      | POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\nTransfer-Encoding: chunked |
      | POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: +0                     |
      | POST /x HTTP/1.1\r\nHost: h\r\nA: b\r\n Content-Length: 28            |
      | POST /x HTTP/1.1\r\nHost: h\nContent-Length: 28                       |
      | POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0x5\r\nhello\r\n0 |
      | POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nab\r\n0 |

  # Guards against a strictness that harms sound requests in pieces.
  Scenario Outline: A sound request in two pieces runs once wherever it is cut
    Given a callers' server that notes what runs
    And its time limits are far away
    Then "<request>" runs once with the body "<body>" wherever it is cut

    Examples:
      | request                                                          | body  |
      | POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhello      | hello |
      | POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n | hello |

  # Guards against a request that is answered 408, or whose connection is closed,
  # though it arrived in time, since the process stood still past the limit.
  Scenario Outline: <what> that arrives while the process stands still is read
    Given a callers' server that notes what runs
    And a head may take 1 seconds, and a connection be idle for 1
    When <what> arrives while the process stands still for 1.6 seconds
    Then it has run and is answered

    Examples:
      | what                |
      | the end of a head   |
      | a second request    |

  # Guards against heads that take for ever, a byte at a time.
  Scenario: A head that comes a byte at a time is still limited
    Given a callers' server that notes what runs
    And a head may take 1 seconds, and a connection be idle for 1
    When a head comes a byte every 0.1 seconds
    Then it is answered 408 within 3 seconds
