package org.clementinequay.server.gateway;

/**
 * Part of a prompt that other requests may share.
 *
 * @param id id of the part; equal parts of different requests have the same id
 * @param tokens length of the part in tokens
 */
public record PromptPart(String id, int tokens) {}
