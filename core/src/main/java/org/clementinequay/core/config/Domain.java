package org.clementinequay.core.config;

/**
 * A failure domain.
 *
 * @param name unique name
 * @param region region that it is in
 */
public record Domain(String name, String region) {}
