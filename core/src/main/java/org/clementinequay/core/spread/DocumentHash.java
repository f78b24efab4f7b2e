package org.clementinequay.core.spread;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/** The hash under which the text of a configuration document is stored. */
public final class DocumentHash {
  private DocumentHash() {}

  /** Returns the hexadecimal SHA-256 of the text in UTF-8. */
  public static String of(String text) {
    return of(text.getBytes(StandardCharsets.UTF_8));
  }

  /** Returns the hexadecimal SHA-256 of the bytes. */
  public static String of(byte[] content) {
    try {
      return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(content));
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("every JDK has SHA-256", e);
    }
  }
}
