package org.clementinequay.server.gateway;

import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.server.Request;

/** Names and formats of the headers that callers and upstreams use. Translates, decides nothing. */
public interface GatewayProtocol {
  /**
   * Decodes the head of a request.
   *
   * @throws MalformedRequestException if a header cannot be understood
   */
  GatewayRequest decode(Request request) throws MalformedRequestException;

  /** Returns the headers of an attempt: those of the caller and those of the router. */
  HttpFields attemptHeaders(GatewayRequest request, AttemptMetadata metadata);

  /** Decodes the head of an answer. */
  ResponseHead decodeResponse(int status, HttpFields headers);
}
