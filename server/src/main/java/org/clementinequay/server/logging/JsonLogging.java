package org.clementinequay.server.logging;

import java.io.OutputStream;
import java.util.Locale;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.Logger;
import java.util.logging.StreamHandler;

/**
 * Sends the log of the process as JSON lines to a stream. The logging of the JDK behind Flogger and
 * SLF4J is set up in code: Log4j with its layout template took a quarter of the time in which a
 * host with part of a core starts.
 */
public final class JsonLogging {
  /** System property with the lowest level that is logged: debug, info, warn or error. */
  public static final String LEVEL_PROPERTY = "clementinequay.log.level";

  /** Jetty tells at info what each start and stop does. */
  private static final String QUIET_LOGGER = "org.eclipse.jetty";

  private static final String MANAGER_PROPERTY = "java.util.logging.manager";

  /** Kept, as the JDK holds loggers weakly and would forget their level. */
  private static Logger quiet;

  private JsonLogging() {}

  /**
   * Sets up the log; standard error in production. Must precede the first use of a logger, after
   * which the JDK does not change its manager.
   */
  public static synchronized void install(OutputStream out) {
    System.setProperty(MANAGER_PROPERTY, StopSafeLogManager.class.getName());
    Level level = level(System.getProperty(LEVEL_PROPERTY, "info"));
    Logger root = Logger.getLogger("");
    root.setLevel(level);
    for (Handler handler : root.getHandlers()) {
      root.removeHandler(handler);
    }
    quiet = Logger.getLogger(QUIET_LOGGER);
    quiet.setLevel(level.intValue() > Level.WARNING.intValue() ? level : Level.WARNING);
    Handler handler = new FlushingHandler(out);
    handler.setLevel(Level.ALL);
    root.addHandler(handler);
  }

  private static Level level(String name) {
    return switch (name.toLowerCase(Locale.ROOT)) {
      case "trace" -> Level.FINEST;
      case "debug" -> Level.FINE;
      case "warn" -> Level.WARNING;
      case "error" -> Level.SEVERE;
      case "off" -> Level.OFF;
      default -> Level.INFO;
    };
  }

  /** Writes each line at once, so that none is lost when the process is killed. */
  private static final class FlushingHandler extends StreamHandler {
    private FlushingHandler(OutputStream out) {
      super(out, new JsonLineFormatter());
    }

    @Override
    public synchronized void publish(java.util.logging.LogRecord entry) {
      super.publish(entry);
      flush();
    }
  }
}
