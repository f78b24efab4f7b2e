package org.clementinequay.server.gateway;

import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.server.Request;

/**
 * Translates the headers that callers and upstreams use. An implementation knows their names and
 * formats and makes no routing decisions.
 */
public interface GatewayProtocol {
  /**
   * Returns an estimate of the memory that the decoded head of a request takes beside its text and
   * fields, in bytes, without decoding it.
   */
  long decodedBytes(Request request);

  /**
   * Decodes the head of a caller's request.
   *
   * @throws MalformedRequestException if a header cannot be parsed
   */
  GatewayRequest decode(Request request) throws MalformedRequestException;

  /** Returns the headers of an attempt: the caller's forwarded ones and those the router adds. */
  HttpFields attemptHeaders(GatewayRequest request, AttemptMetadata metadata);

  /** Decodes the head of an upstream's response. */
  ResponseHead decodeResponse(int status, HttpFields headers);
}
