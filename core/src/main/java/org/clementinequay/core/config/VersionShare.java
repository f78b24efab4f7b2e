package org.clementinequay.core.config;

import org.clementinequay.core.ModelVersion;

/**
 * A version to which a request without a session may be bound, and its share of such requests.
 *
 * @param version the version
 * @param state state of the version, which accepts new sessions
 * @param share share of the new sessions of an account, greater than 0 and at most 1
 */
public record VersionShare(ModelVersion version, VersionState state, double share) {}
