/** The thread that writes claims of idempotency keys in batches. */
package org.clementinequay.server.claim;
