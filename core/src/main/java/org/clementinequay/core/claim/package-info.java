/**
 * Claims of idempotency keys, so that a request that must not be repeated runs at most once. The
 * design note is {@code docs/at-most-once.md}.
 */
package org.clementinequay.core.claim;
