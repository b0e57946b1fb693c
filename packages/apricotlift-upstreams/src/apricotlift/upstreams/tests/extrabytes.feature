Feature: Bytes that follow a response on a persistent connection

  Scenario Outline: An extra response isn't read as the response to the next request
    # Guards against a request that gets the refusal of another one, because its
    # connection still held it. A response of 65,536 bytes ends where a read ends, so that
    # the extra response is in none of the parser's data.
    Given a server that sends a refusal together with each response of <size> bytes
    When two requests are sent one after the other through the <client>
    Then each of them gets its own response

    Examples:
      | size   | client                 |
      | 100    | pool                   |
      | 65536  | pool                   |
      | 131072 | pool                   |
      | 100    | persistent connections |
      | 65536  | persistent connections |
      | 131072 | persistent connections |

  Scenario Outline: A connection without extra bytes is used again
    # Guards against a new connection for each request.
    Given a server that sends nothing together with each response of <size> bytes
    When two requests are sent one after the other through the <client>
    Then each of them gets its own response
    And the server accepted 1 connection

    Examples:
      | size   | client                 |
      | 100    | pool                   |
      | 65536  | pool                   |
      | 100    | persistent connections |
      | 65536  | persistent connections |
