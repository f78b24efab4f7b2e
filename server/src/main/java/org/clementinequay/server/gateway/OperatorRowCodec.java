package org.clementinequay.server.gateway;

import com.fasterxml.jackson.core.type.TypeReference;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.util.List;
import java.util.Optional;
import java.util.zip.DeflaterOutputStream;
import java.util.zip.InflaterInputStream;
import org.clementinequay.core.platform.Row;
import org.msgpack.jackson.dataformat.MessagePackFactory;

/** Compresses rows that one host of a failure domain passes on to the others. */
final class OperatorRowCodec {
  /**
   * Largest compressed change that is passed on, in bytes. A reader sends it to each host of its
   * domain; forty copies of this size take half a second of a link of 10 Mbit/s.
   */
  static final int MAX_COMPRESSED_BYTES = 16 << 10;

  /** Largest decompressed change, in bytes. */
  static final int MAX_BYTES = 1 << 20;

  private static final TypeReference<List<Row>> ROWS = new TypeReference<>() {};
  private static final ObjectMapper MAPPER = new ObjectMapper(new MessagePackFactory());

  private OperatorRowCodec() {}

  /** Returns the compressed rows; empty if they are too large to be passed on. */
  static Optional<byte[]> encode(List<Row> rows) throws IOException {
    byte[] plain = MAPPER.writeValueAsBytes(rows);
    if (plain.length > MAX_BYTES) {
      return Optional.empty();
    }
    ByteArrayOutputStream compressed = new ByteArrayOutputStream();
    try (DeflaterOutputStream out = new DeflaterOutputStream(compressed)) {
      out.write(plain);
    }
    return Optional.of(compressed.toByteArray()).filter(b -> b.length <= MAX_COMPRESSED_BYTES);
  }

  /**
   * Returns the rows of {@link #encode}.
   *
   * @throws IOException if the bytes are malformed or too many
   */
  static List<Row> decode(byte[] compressed) throws IOException {
    try (InputStream in = new InflaterInputStream(new ByteArrayInputStream(compressed))) {
      byte[] plain = in.readNBytes(MAX_BYTES + 1);
      if (plain.length > MAX_BYTES) {
        throw new IOException("change of more than " + MAX_BYTES + " bytes");
      }
      return MAPPER.readValue(plain, ROWS);
    }
  }
}
