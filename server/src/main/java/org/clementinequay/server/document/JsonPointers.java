package org.clementinequay.server.document;

import com.google.common.base.Splitter;
import java.util.List;

/** Functions for JSON pointers in string form (RFC 6901). */
public final class JsonPointers {
  private static final Splitter SLASH = Splitter.on('/');

  private JsonPointers() {}

  /**
   * Returns the pointer to a member or item of the value at a pointer.
   *
   * @param token unescaped key of the member or index of the item
   */
  public static String child(String parent, String token) {
    return parent + "/" + token.replace("~", "~0").replace("/", "~1");
  }

  /** Returns the unescaped tokens of a pointer, an empty list for the whole document. */
  public static List<String> tokens(String pointer) {
    if (pointer.isEmpty()) {
      return List.of();
    }
    return SLASH
        .splitToStream(pointer.substring(1))
        .map(token -> token.replace("~1", "/").replace("~0", "~"))
        .toList();
  }

  /** Returns whether the pointers are equal or one is an ancestor of the other. */
  public static boolean related(String one, String other) {
    return (one + "/").startsWith(other + "/") || (other + "/").startsWith(one + "/");
  }
}
