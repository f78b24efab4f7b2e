package org.clementinequay.server.gateway;

import com.google.common.net.HostAndPort;
import java.net.URI;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Origin;
import org.eclipse.jetty.client.transport.HttpConversation;
import org.eclipse.jetty.client.transport.HttpRequest;

/**
 * Request whose method, path and query are sent as they are. {@link HttpRequest#path} parses a URI
 * reference, in which two slashes begin the name of a host, and {@link HttpRequest#method} converts
 * to upper case.
 */
final class VerbatimRequest extends HttpRequest {
  private final URI upstream;
  private final String method;
  private final String path;

  /** Text after the first question mark; null if there is none. */
  private final String query;

  VerbatimRequest(HttpClient client, HostAndPort address, String method, String pathQuery) {
    this(
        client,
        URI.create(new Origin("http", address.getHost(), address.getPort()).asString()),
        method,
        pathQuery);
  }

  private VerbatimRequest(HttpClient client, URI upstream, String method, String pathQuery) {
    super(client, new HttpConversation(), upstream);
    this.upstream = upstream;
    this.method = method;
    int mark = pathQuery.indexOf('?');
    this.path = mark < 0 ? pathQuery : pathQuery.substring(0, mark);
    this.query = mark < 0 ? null : pathQuery.substring(mark + 1);
  }

  @Override
  public String getMethod() {
    return method;
  }

  @Override
  public String getPath() {
    return path;
  }

  @Override
  public String getQuery() {
    return query;
  }

  /** Returns the URI of the upstream alone, because the path may be none that a URI can have. */
  @Override
  public URI getURI() {
    return upstream;
  }
}
