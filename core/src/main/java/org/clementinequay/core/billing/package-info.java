/**
 * Bill records, the batches that make them durable, and the bills computed from them. A record is
 * sealed once its owner has written it to the platform; a host flushes its copies of the records of
 * a dead host. The design is described in {@code docs/billing.md}.
 */
package org.clementinequay.core.billing;
