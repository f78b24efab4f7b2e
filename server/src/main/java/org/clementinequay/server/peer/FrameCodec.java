package org.clementinequay.server.peer;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.ObjectReader;
import com.fasterxml.jackson.databind.ObjectWriter;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Optional;
import org.msgpack.jackson.dataformat.MessagePackFactory;

/**
 * Encodes and decodes the frames of a link: a 4-byte big-endian length, then that many bytes of
 * MessagePack. Unknown fields are ignored and messages of unknown types dropped, so that adjacent
 * releases are compatible.
 */
final class FrameCodec {
  static final int PREFIX_BYTES = 4;

  /** Maximum length of a frame body; the largest message is a configuration document. */
  static final int MAX_FRAME_BYTES = 4 << 20;

  /**
   * Maximum length of a frame body before the other end has identified itself, so that arbitrary
   * bytes that are read as a length do not make the host allocate megabytes.
   */
  static final int MAX_HELLO_BYTES = 4 << 10;

  private static final ObjectMapper MAPPER =
      new ObjectMapper(new MessagePackFactory())
          .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
          .disable(DeserializationFeature.FAIL_ON_INVALID_SUBTYPE);
  private static final ObjectReader READER = MAPPER.readerFor(PeerMessage.class);
  private static final ObjectWriter WRITER = MAPPER.writerFor(PeerMessage.class);

  private FrameCodec() {}

  /**
   * Returns the frame of a message.
   *
   * @throws InvalidFrameException if the message is larger than a frame may be
   */
  static byte[] encode(PeerMessage message) throws IOException {
    byte[] body = WRITER.writeValueAsBytes(message);
    if (body.length > MAX_FRAME_BYTES) {
      throw new InvalidFrameException(
          "message of " + body.length + " bytes exceeds the maximum frame size");
    }
    return ByteBuffer.allocate(PREFIX_BYTES + body.length).putInt(body.length).put(body).array();
  }

  /**
   * Checks the length that a frame announces for its body.
   *
   * @param maxBytes maximum length to accept
   * @throws InvalidFrameException if the length is out of range
   */
  static void checkLength(int length, int maxBytes) throws InvalidFrameException {
    if (length <= 0 || length > maxBytes) {
      throw new InvalidFrameException("frame length " + length + " is not in 1 to " + maxBytes);
    }
  }

  /**
   * Returns the message of a frame's body; empty if this release does not know its type.
   *
   * @throws InvalidFrameException if the body is not a message
   */
  static Optional<PeerMessage> decode(byte[] body) throws InvalidFrameException {
    try {
      return Optional.ofNullable(READER.readValue(body));
    } catch (IOException | RuntimeException e) {
      throw new InvalidFrameException("frame is not a message", e);
    }
  }
}
