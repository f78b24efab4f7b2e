package org.clementinequay.core.spread;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/** Computes the hash that names a configuration document in the object store. */
public final class DocumentHash {
  private DocumentHash() {}

  /** Returns the hexadecimal SHA-256 of the UTF-8 encoding of the text. */
  public static String of(String text) {
    return of(text.getBytes(StandardCharsets.UTF_8));
  }

  /** Returns the hexadecimal SHA-256 of the bytes. */
  public static String of(byte[] content) {
    try {
      return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(content));
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("SHA-256 is not available in this Java runtime", e);
    }
  }
}
