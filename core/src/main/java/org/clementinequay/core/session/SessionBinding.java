package org.clementinequay.core.session;

import java.time.Instant;
import org.clementinequay.core.ModelVersion;

/**
 * Content of a session token, which binds a session to a version.
 *
 * @param account name of the client account that the session belongs to
 * @param version version that serves all requests of the session
 * @param expires wall-clock time from which on the token is refused
 */
public record SessionBinding(String account, ModelVersion version, Instant expires) {}
