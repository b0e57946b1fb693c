Feature: Frames and messages
  Guards the decoder, the first code that reads what another process sent.

  Scenario: Every message survives encoding and decoding
    Guards against a field that is lost or changed on the way.
    Given the wire samples of every message kind
    Then each wire sample decodes to an equal message

  Scenario: Any bytes give a message or an ApricotliftError
    Guards against an exception that would end the connection's task unnoticed.
    Then 500 random byte strings decode to a wire message or an ApricotliftError
    And 500 random CBOR values decode to a wire message or an ApricotliftError
    And 500 mutated wire frames decode to a wire message or an ApricotliftError

  Scenario Outline: A wrong frame is refused by its code
    Guards against a decoder that accepts <fault>.
    When a wire frame with <fault> is decoded
    Then the wire decoder refuses it with <code>

    Examples:
      | fault                 | code            |
      | an unknown kind       | peer_protocol   |
      | a missing key         | peer_protocol   |
      | an unknown key        | peer_protocol   |
      | a boolean for integer | peer_protocol   |
      | a 65-bit integer      | peer_protocol   |
      | bytes after the array | peer_protocol   |
      | deep nesting          | peer_protocol   |
      | a cyclic value        | peer_protocol   |
      | a negative number     | peer_protocol   |
      | too many bytes        | frame_too_large |

  Scenario: A message that doesn't fit a frame is refused before it is sent
    Guards against a sender whose connection the peer would cut off.
    When a wire document of 300000 bytes is encoded
    Then the wire encoder refuses it with frame_too_large
