/** Batched writing of claims of idempotency keys. */
package org.clementinequay.server.claim;
