package org.clementinequay.server.gateway;

import java.util.List;
import org.clementinequay.core.RouterException;

/** The settings cannot be used; the message has all findings with their fields. */
public final class InvalidSettingsException extends RouterException {
  private static final long serialVersionUID = 1L;

  /** Creates an exception. */
  public InvalidSettingsException(List<String> findings) {
    super("invalid settings: " + String.join("; ", findings), null);
  }
}
