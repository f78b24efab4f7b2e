package org.clementinequay.bench.faults;

/** Which keys a caller uses. A caller takes another key only if every try so far did not run. */
enum KeyScheme {
  /** One key of its own for all tries. */
  CALLER_MADE("caller-made keys, claim rows", false, false),
  /** A key issued by an entry host; another one after a refusal. */
  ROUTER_ISSUED("router-issued keys", true, true),
  /** A key of its own, and after a refusal one issued by an entry host. */
  BOTH("both offered", false, true);

  private final String label;
  private final boolean issuedFirst;
  private final boolean issuedAfterRefusal;

  KeyScheme(String label, boolean issuedFirst, boolean issuedAfterRefusal) {
    this.label = label;
    this.issuedFirst = issuedFirst;
    this.issuedAfterRefusal = issuedAfterRefusal;
  }

  String label() {
    return label;
  }

  boolean issuedFirst() {
    return issuedFirst;
  }

  boolean issuedAfterRefusal() {
    return issuedAfterRefusal;
  }
}
