package org.clementinequay.server.gateway;

/**
 * A part of a prompt that may be shared with other requests.
 *
 * @param id id of the part
 * @param tokens its length
 */
public record PromptPart(String id, int tokens) {}
