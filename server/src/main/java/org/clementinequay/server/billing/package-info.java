/** Replication of bill records to another entry host, and the thread that seals them. */
package org.clementinequay.server.billing;
