/**
 * Bill records, the batches that make them durable, and their union into a bill. The design note is
 * {@code docs/billing.md}.
 */
package org.clementinequay.core.billing;
