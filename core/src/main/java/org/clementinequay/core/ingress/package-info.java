/** Bytes, connections and times that callers may take of a host. */
package org.clementinequay.core.ingress;
