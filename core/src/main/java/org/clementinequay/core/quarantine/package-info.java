/**
 * Finds parts of prompts under which upstreams crash, and keeps requests with such parts from them.
 */
package org.clementinequay.core.quarantine;
