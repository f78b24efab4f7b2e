package org.clementinequay.bench.faults;

/**
 * Origin of the idempotency keys that a caller uses. A caller changes the key of an operation only
 * while it knows that no attempt so far has run.
 */
enum KeyScheme {
  /** The caller makes one key and uses it for all attempts. */
  CALLER_MADE("caller-made keys, claim rows", false, false),
  /** An entry host issues the key, and another one after a refusal. */
  ROUTER_ISSUED("router-issued keys", true, true),
  /** The caller makes the first key; after a refusal an entry host issues one. */
  BOTH("both offered", false, true);

  private final String label;
  private final boolean startsWithIssuedKey;
  private final boolean switchesToIssuedKey;

  KeyScheme(String label, boolean startsWithIssuedKey, boolean switchesToIssuedKey) {
    this.label = label;
    this.startsWithIssuedKey = startsWithIssuedKey;
    this.switchesToIssuedKey = switchesToIssuedKey;
  }

  String label() {
    return label;
  }

  boolean startsWithIssuedKey() {
    return startsWithIssuedKey;
  }

  boolean switchesToIssuedKey() {
    return switchesToIssuedKey;
  }
}
