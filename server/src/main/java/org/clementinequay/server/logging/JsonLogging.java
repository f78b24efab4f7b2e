package org.clementinequay.server.logging;

import java.io.OutputStream;
import java.util.Locale;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.Logger;
import java.util.logging.StreamHandler;

/**
 * Writes the log of the process to a stream as JSON lines. Configures the logging of the JDK, the
 * backend of Flogger and SLF4J, in code: Log4j with its layout template took a quarter of the start
 * time of a host with a fraction of a core.
 */
public final class JsonLogging {
  /** System property with the lowest level to log: trace, debug, info, warn, error or off. */
  public static final String LEVEL_PROPERTY = "clementinequay.log.level";

  /** Logs only warnings and errors: at info, Jetty logs the steps of each start and stop. */
  private static final String JETTY_LOGGER_NAME = "org.eclipse.jetty";

  private static final String MANAGER_PROPERTY = "java.util.logging.manager";

  /**
   * Strong reference: the JDK holds loggers weakly, and the level would be lost with the logger.
   */
  private static Logger jettyLogger;

  private JsonLogging() {}

  /**
   * Configures logging to a stream, which is standard error in production. Must be called before
   * the first use of a logger, because the JDK does not replace its log manager after that.
   */
  public static synchronized void install(OutputStream out) {
    System.setProperty(MANAGER_PROPERTY, NonResettingLogManager.class.getName());
    Level level = parseLevel(System.getProperty(LEVEL_PROPERTY, "info"));
    Logger root = Logger.getLogger("");
    root.setLevel(level);
    for (Handler handler : root.getHandlers()) {
      root.removeHandler(handler);
    }
    jettyLogger = Logger.getLogger(JETTY_LOGGER_NAME);
    jettyLogger.setLevel(level.intValue() > Level.WARNING.intValue() ? level : Level.WARNING);
    Handler handler = new FlushingHandler(out);
    handler.setLevel(Level.ALL);
    root.addHandler(handler);
  }

  private static Level parseLevel(String name) {
    return switch (name.toLowerCase(Locale.ROOT)) {
      case "trace" -> Level.FINEST;
      case "debug" -> Level.FINE;
      case "warn" -> Level.WARNING;
      case "error" -> Level.SEVERE;
      case "off" -> Level.OFF;
      default -> Level.INFO;
    };
  }

  /** Flushes after each line, so that no line is lost when the process is killed. */
  private static final class FlushingHandler extends StreamHandler {
    private FlushingHandler(OutputStream out) {
      super(out, new JsonLineFormatter());
    }

    @Override
    public synchronized void publish(java.util.logging.LogRecord logRecord) {
      super.publish(logRecord);
      flush();
    }
  }
}
