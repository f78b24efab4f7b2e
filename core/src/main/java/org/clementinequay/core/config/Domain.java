package org.clementinequay.core.config;

/**
 * A failure domain.
 *
 * @param name name, unique among the failure domains
 * @param region name of the region that contains the domain
 */
public record Domain(String name, String region) {}
