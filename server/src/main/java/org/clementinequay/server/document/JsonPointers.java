package org.clementinequay.server.document;

import com.google.common.base.Splitter;
import java.util.List;

/** JSON pointers as texts (RFC 6901). */
public final class JsonPointers {
  private static final Splitter SLASH = Splitter.on('/');

  private JsonPointers() {}

  /** Returns the pointer to a member or item below another pointer. */
  public static String child(String parent, String token) {
    return parent + "/" + token.replace("~", "~0").replace("/", "~1");
  }

  /** Returns the unescaped tokens of a pointer. */
  public static List<String> tokens(String pointer) {
    if (pointer.isEmpty()) {
      return List.of();
    }
    return SLASH
        .splitToStream(pointer.substring(1))
        .map(token -> token.replace("~1", "/").replace("~0", "~"))
        .toList();
  }

  /** Returns whether one of the pointers is the other or contains it. */
  public static boolean related(String one, String other) {
    return (one + "/").startsWith(other + "/") || (other + "/").startsWith(one + "/");
  }
}
