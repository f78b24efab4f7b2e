package org.clementinequay.core.time;

import java.time.Duration;
import java.time.Instant;
import java.util.concurrent.TimeUnit;

/** Clock of the operating system, as the JDK provides it. */
public final class SystemClock implements RuntimeClock {
  @Override
  public Instant now() {
    return Instant.now();
  }

  @Override
  public long nanoTime() {
    return System.nanoTime();
  }

  @Override
  public void sleep(Duration duration) throws InterruptedException {
    TimeUnit.NANOSECONDS.sleep(duration.toNanos());
  }
}
