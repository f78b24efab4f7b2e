package org.clementinequay.server.operator;

/**
 * A configuration document submitted by an operator.
 *
 * @param baseRevision revision that the operator edited, 0 if there was none
 * @param submissionId id chosen by the client; a repeated submission has the same one
 * @param operator authenticated name of the operator
 * @param document text of the document
 */
public record Submission(
    long baseRevision, String submissionId, String operator, String document) {}
