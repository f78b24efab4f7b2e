package org.clementinequay.server.gateway;

import java.util.List;
import org.clementinequay.core.RouterException;

/** The settings are invalid; the message lists every finding with its field. */
public final class InvalidSettingsException extends RouterException {
  private static final long serialVersionUID = 1L;

  public InvalidSettingsException(List<String> findings) {
    super("invalid settings: " + String.join("; ", findings), null);
  }
}
