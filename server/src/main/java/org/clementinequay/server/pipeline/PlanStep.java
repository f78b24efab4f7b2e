package org.clementinequay.server.pipeline;

import org.clementinequay.core.ModelVersion;

/**
 * One step of a request's plan.
 *
 * @param version version to run
 * @param draft whether the answer is rated before it is released; the next step runs if it is
 *     rejected
 * @param acceptScore least score that releases a draft
 */
public record PlanStep(ModelVersion version, boolean draft, double acceptScore) {}
