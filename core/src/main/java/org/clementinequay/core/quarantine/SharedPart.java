package org.clementinequay.core.quarantine;

/**
 * Part of prompts that several requests may share.
 *
 * @param service service whose upstreams read the prompts
 * @param id id of the part
 */
public record SharedPart(String service, String id) {}
