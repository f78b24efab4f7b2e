/** Copying of bill records to another entry host, and writing them durably in sealed batches. */
package org.clementinequay.server.billing;
