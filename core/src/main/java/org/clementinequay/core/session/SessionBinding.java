package org.clementinequay.core.session;

import java.time.Instant;
import org.clementinequay.core.ModelVersion;

/**
 * What a session token states.
 *
 * @param account name of the client account that the session belongs to
 * @param version version that serves the session for its whole life
 * @param expires wall-clock time after which the token is refused
 */
public record SessionBinding(String account, ModelVersion version, Instant expires) {}
