Feature: Responses that end with their connection
  A response may have neither a length nor chunks. It is complete when the server closes
  the connection regularly, and broken when the connection is reset.

  Scenario Outline: Only a regular end completes a response
    # Guards against a reset, or an end before the stated length, that is taken for the
    # end of a response, against a whole response that is refused for its framing, and
    # against a closed connection that is kept for the next request.
    Given a server whose responses end with their connection
    When each of these responses is read through the <client>
      | response                     | result                      |
      | regular                      | body of regular             |
      | close_header                 | body of close_header        |
      | http_1_0                     | body of http_1_0            |
      | http_1_0_keep_alive          | body of http_1_0_keep_alive |
      | http_1_0_sized               | ok                          |
      | empty                        |                             |
      | body_reset                   | stream_broken               |
      | http_1_0_reset               | stream_broken               |
      | empty_reset                  | stream_broken               |
      | short                        | stream_broken               |
      | short_reset                  | stream_broken               |
      | chunks_short                 | stream_broken               |
      | whole_events_reset:3         | stream_broken               |
      | whole_events_at_once_reset:3 | stream_broken               |
      | body_stall                   | upstream_timeout            |
    Then each response has its result
    And no connection is kept

    Examples:
      | client                 |
      | pool                   |
      | persistent connections |

  Scenario Outline: A response that ends inside its head is never a response
    # Guards against a status and headers that are taken for whole although the server
    # stopped before their end.
    Given a server whose responses end with their connection
    When each of these responses is read through the <client>
      | response                 | result            |
      | head_in_version          | stream_broken |
      | head_in_status           | stream_broken |
      | head_in_status_line      | stream_broken |
      | head_after_status_line   | stream_broken |
      | head_in_name             | stream_broken |
      | head_in_length           | stream_broken |
      | head_after_length        | stream_broken |
      | head_after_headers       | stream_broken |
      | head_in_blank_line       | stream_broken |
      | head_of_http_1_0         | stream_broken |
      | head_of_chunks           | stream_broken |
      | head_of_events           | stream_broken |
      | head_after_interim       | stream_broken |
      | head_after_headers_reset | stream_broken     |
      | head_in_length_reset     | stream_broken     |
    Then each response has its result
    And no connection is kept

    Examples:
      | client                 |
      | pool                   |
      | persistent connections |

  Scenario Outline: Bytes that look like a response are part of the body
    # Guards against bytes of one response that are taken for the next response.
    Given a server whose responses end with their connection
    When the response "response_inside" and then "regular" are read through the <client>
    Then the first body ends with "extra", and the second is "body of regular"

    Examples:
      | client                 |
      | pool                   |
      | persistent connections |

  Scenario Outline: A limit of our own is never taken for the end of a response
    # Guards against a part of a body that is returned as the whole one because reading
    # was ended on our side.
    Given a server whose responses end with their connection
    When the response "body_stall" is read through the <client> with <limit>
    Then the call fails with <code>

    Examples:
      | client                 | limit               | code              |
      | pool                   | at most 4 bytes     | upstream_protocol |
      | pool                   | at most 0.3 seconds | upstream_timeout  |
      | persistent connections | at most 4 bytes     | upstream_protocol |
      | persistent connections | at most 0.3 seconds | upstream_timeout  |

  Scenario Outline: Events are the same however their bytes arrive
    # Guards against the end mark of a whole stream that isn't recognised, because a line
    # end of two bytes arrives in two parts.
    When an event stream with <line end> line ends arrives byte by byte
    Then its events are "one" and "[DONE]", and the stream is complete

    Examples:
      | line end |
      | LF       |
      | CRLF     |
