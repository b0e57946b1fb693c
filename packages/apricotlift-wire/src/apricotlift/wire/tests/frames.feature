Feature: Frames and messages
  Checks the encoder and the decoder, which is the first code that reads the bytes of
  another process.

  Scenario: Encoding and decoding any message gives an equal message
    Guards against a field that encoding or decoding loses or changes.
    Given the wire samples of every message kind
    Then each wire sample decodes to an equal message

  Scenario: Decoding any bytes gives a message or an ApricotliftError
    Guards against an exception of another type, which would end the connection's task
    unnoticed.
    Then 500 random byte strings decode to a wire message or an ApricotliftError
    And 500 random CBOR values decode to a wire message or an ApricotliftError
    And 500 mutated wire frames decode to a wire message or an ApricotliftError

  Scenario Outline: A wrong frame is refused with the right code
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
    Guards against sending an oversize frame, for which the peer would close the
    connection.
    When a wire document of 300000 bytes is encoded
    Then the wire encoder refuses it with frame_too_large
