package org.clementinequay.core.spread;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import java.util.function.LongConsumer;
import java.util.random.RandomGenerator;
import org.clementinequay.core.config.RevisionedConfiguration;
import org.clementinequay.core.config.RouterConfiguration;
import org.clementinequay.core.platform.PlatformException;
import org.clementinequay.core.time.RuntimeClock;

/**
 * Polls the head row and loads the document of a newer revision. One thread calls {@link #poll} and
 * waits for {@link #randomPollDelay} between calls. Polling reaches hosts that have no link to the
 * host that accepted a revision; the links between peers reach hosts that are cut off from the
 * platform.
 */
public final class ConfigurationReader {
  /**
   * Mean time between two polls. At this rate, 330 hosts use 330 of the about 2,000 reads per
   * second that the table service can serve for all hosts together.
   */
  public static final Duration MEAN_POLL_INTERVAL = Duration.ofSeconds(1);

  private final ConfigurationPublisher source;
  private final CurrentRevision currentRevision;
  private final DocumentParser parser;
  private final LongConsumer requestFromPeers;
  private final RuntimeClock clock;

  /**
   * Creates a reader.
   *
   * @param source source of the head row and the documents
   * @param requestFromPeers asks the peers for the document of the given revision or a later one;
   *     must not block
   */
  public ConfigurationReader(
      ConfigurationPublisher source,
      CurrentRevision currentRevision,
      DocumentParser parser,
      LongConsumer requestFromPeers,
      RuntimeClock clock) {
    this.source = Objects.requireNonNull(source);
    this.currentRevision = Objects.requireNonNull(currentRevision);
    this.parser = Objects.requireNonNull(parser);
    this.requestFromPeers = Objects.requireNonNull(requestFromPeers);
    this.clock = Objects.requireNonNull(clock);
  }

  /** Result of a poll. */
  public enum PollResult {
    /** No configuration was ever accepted. */
    NO_CONFIGURATION,
    /** The host already has the latest revision. */
    CURRENT,
    /** A newer revision was loaded and is now in force. */
    ADVANCED,
    /** The document of a newer revision could not be read; the peers were asked for it. */
    DOCUMENT_MISSING,
    /** This release of the program cannot parse the document of a newer revision. */
    NOT_UNDERSTOOD
  }

  /**
   * Reads the head row and, if it is newer than the revision in force, loads and applies its
   * document.
   *
   * @throws PlatformException if the head row could not be read
   */
  public PollResult poll() throws PlatformException {
    long startedNanos = clock.nanoTime();
    Optional<RevisionRecord> head = source.head();
    if (head.isEmpty()) {
      currentRevision.recordRefresh(startedNanos);
      return PollResult.NO_CONFIGURATION;
    }
    if (head.get().revision() <= currentRevision.number()) {
      currentRevision.recordRefresh(startedNanos);
      return PollResult.CURRENT;
    }
    Optional<String> text = readDocument(head.get().hash());
    if (text.isEmpty()) {
      requestFromPeers.accept(head.get().revision());
      return PollResult.DOCUMENT_MISSING;
    }
    Optional<RouterConfiguration> configuration = parser.parse(text.get());
    if (configuration.isEmpty()) {
      return PollResult.NOT_UNDERSTOOD;
    }
    currentRevision.activateIfNewer(
        new RevisionedConfiguration(
            head.get().revision(), head.get().hash(), text.get(), configuration.get()));
    currentRevision.recordRefresh(startedNanos);
    return PollResult.ADVANCED;
  }

  private Optional<String> readDocument(String hash) {
    try {
      return source.document(hash);
    } catch (PlatformException e) {
      // Not an error for the caller: poll() then requests the document from the peers and returns
      // DOCUMENT_MISSING.
      return Optional.empty();
    }
  }

  /**
   * Returns the time to wait before the next poll, uniformly distributed between 0.5 and 1.5 times
   * the mean.
   */
  public static Duration randomPollDelay(RandomGenerator random) {
    return Duration.ofNanos((long) (MEAN_POLL_INTERVAL.toNanos() * (0.5 + random.nextDouble())));
  }
}
