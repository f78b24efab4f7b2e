package org.clementinequay.server.entry;

import static org.testng.Assert.assertThrows;

import java.io.IOException;
import java.util.List;
import java.util.Optional;
import org.clementinequay.server.settings.Settings;
import org.testng.annotations.Test;

/** Tests of the start of an entry host. */
public final class EntryProcessTest {
  /** Guards against a host that speaks plain HTTP although its settings ask for TLS. */
  @Test
  public void tlsIsNotIgnored() {
    Settings settings =
        new Settings(
            "e1",
            "a",
            "pnw",
            1,
            new Settings.Listeners("127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"),
            new Settings.Platform("127.0.0.1:1", "127.0.0.1:1", "127.0.0.1:1", "127.0.0.1:1"),
            List.of(),
            List.of(),
            Optional.of(new Settings.Tls("store.p12", "password.txt")),
            1,
            Settings.Timeouts.DEFAULT);
    assertThrows(IOException.class, () -> new EntryProcess().run(settings));
  }
}
