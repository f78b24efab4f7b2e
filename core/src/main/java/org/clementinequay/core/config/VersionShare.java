package org.clementinequay.core.config;

import org.clementinequay.core.ModelVersion;

/**
 * A version that a request without a session may be bound to.
 *
 * @param version the version
 * @param state its state, one that accepts new sessions
 * @param share its share of the new sessions of an account, above 0 and at most 1
 */
public record VersionShare(ModelVersion version, VersionState state, double share) {}
