package org.clementinequay.server.logging;

import static org.testng.Assert.assertEquals;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.logging.ConsoleHandler;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogManager;
import java.util.logging.Logger;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Guards against lost and duplicate log lines. */
public class JsonLoggingTest {
  private final Logger root = Logger.getLogger("");
  private Handler[] savedHandlers;
  private Level savedLevel;

  @BeforeMethod
  public void saveHandlers() {
    savedHandlers = root.getHandlers();
    savedLevel = root.getLevel();
  }

  @AfterMethod
  public void restoreHandlers() {
    for (Handler handler : root.getHandlers()) {
      root.removeHandler(handler);
    }
    root.setLevel(savedLevel);
    for (Handler handler : savedHandlers) {
      root.addHandler(handler);
    }
  }

  @Test
  public void eachMessageIsOneLineOnTheGivenStream() {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    root.addHandler(new ConsoleHandler());
    JsonLogging.install(out);
    assertEquals(root.getHandlers().length, 1);
    Logger.getLogger("org.clementinequay.test").warning("first");
    Logger.getLogger("org.eclipse.jetty.server").info("not logged");
    String text = out.toString(StandardCharsets.UTF_8);
    assertEquals(text.lines().count(), 1, text);
  }

  // Guards against an ignored level property: the faults injected in soak runs would flood the log.
  @Test
  public void levelOfThePropertyIsUsed() {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    String configured = System.getProperty(JsonLogging.LEVEL_PROPERTY);
    System.setProperty(JsonLogging.LEVEL_PROPERTY, "off");
    try {
      JsonLogging.install(out);
      Logger.getLogger("org.clementinequay.test").severe("not logged");
    } finally {
      if (configured == null) {
        System.clearProperty(JsonLogging.LEVEL_PROPERTY);
      } else {
        System.setProperty(JsonLogging.LEVEL_PROPERTY, configured);
      }
    }
    assertEquals(out.size(), 0);
  }

  // Guards against a graceful stop that loses warnings because the handlers are already removed.
  @Test
  public void resetOfTheManagerKeepsTheHandlers() {
    LogManager manager = new NonResettingLogManager();
    Logger logger = new Logger("stopping", null) {};
    logger.addHandler(new ConsoleHandler());
    manager.addLogger(logger);
    manager.reset();
    assertEquals(logger.getHandlers().length, 1);
  }
}
