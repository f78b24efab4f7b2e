/**
 * Claims on idempotency keys, which ensure that a non-idempotent request runs at most once. The
 * design is described in {@code docs/at-most-once.md}.
 */
package org.clementinequay.core.claim;
