package org.clementinequay.server.entry;

import java.time.Duration;
import org.clementinequay.core.platform.HostDirectory;
import org.clementinequay.core.platform.ObjectStore;
import org.clementinequay.core.platform.RatingService;
import org.clementinequay.core.platform.TableService;
import org.clementinequay.server.platform.HttpHostDirectory;
import org.clementinequay.server.platform.HttpObjectStore;
import org.clementinequay.server.platform.HttpRatingService;
import org.clementinequay.server.platform.HttpTableService;
import org.clementinequay.server.settings.Settings;
import org.eclipse.jetty.client.HttpClient;

/** Clients of the platform's services, which share an HTTP client of their own. */
final class PlatformClients implements AutoCloseable {
  private static final int MAX_THREADS = 16;

  private final HttpClient http = JettyFactory.createClient("platform", MAX_THREADS);
  final TableService table;
  final ObjectStore objects;
  final HostDirectory directory;
  final RatingService ratings;

  PlatformClients(Settings settings) {
    Settings.Platform addresses = settings.platform();
    Duration timeout = Duration.ofMillis(settings.timeouts().platformMillis());
    table = new HttpTableService(http, addresses.tableService(), timeout);
    objects = new HttpObjectStore(http, addresses.objectStore(), timeout);
    directory = new HttpHostDirectory(http, addresses.hostDirectory(), timeout);
    ratings = new HttpRatingService(http, addresses.ratingService(), timeout);
  }

  void start() throws Exception {
    http.start();
  }

  @Override
  public void close() throws Exception {
    http.stop();
  }
}
