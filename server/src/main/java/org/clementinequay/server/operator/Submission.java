package org.clementinequay.server.operator;

/**
 * A configuration document handed in by an operator.
 *
 * @param baseRevision revision that the operator edited, 0 if there was none
 * @param submissionId id drawn by the client; a repeat carries the same one
 * @param operator authenticated name of the operator
 * @param document text of the document
 */
public record Submission(
    long baseRevision, String submissionId, String operator, String document) {}
