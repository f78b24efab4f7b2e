package org.clementinequay.server.pipeline;

import org.clementinequay.core.ModelVersion;

/**
 * One step of the plan of a chat completion.
 *
 * @param version version to run
 * @param draft whether the answer is rated before it is released; the next step runs if it is
 *     rejected
 * @param acceptScore minimum score at which a draft is released
 */
public record PlanStep(ModelVersion version, boolean draft, double acceptScore) {}
