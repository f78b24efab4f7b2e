/** Decides which requests start, wait or are rejected where callers compete for too little room. */
package org.clementinequay.core.admission;
