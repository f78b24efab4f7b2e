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
 * Reads the head row and the document that it names. One thread calls {@link #poll} and waits for
 * {@link #randomPollDelay} in between. Polling reaches hosts that have no link to the host that
 * accepted a revision; peers reach hosts that are cut off from the platform.
 */
public final class ConfigurationReader {
  /**
   * Mean time between two reads: 330 hosts then cause 330 of about 2,000 possible reads a second.
   */
  public static final Duration MEAN_POLL_INTERVAL = Duration.ofSeconds(1);

  private final ConfigurationPublisher source;
  private final CurrentRevision keeper;
  private final DocumentParser parser;
  private final LongConsumer askPeers;
  private final RuntimeClock clock;

  /**
   * Creates a reader.
   *
   * @param source reads the head row and the documents
   * @param askPeers asks the peers for a document of at least this revision; must not block
   */
  public ConfigurationReader(
      ConfigurationPublisher source,
      CurrentRevision keeper,
      DocumentParser parser,
      LongConsumer askPeers,
      RuntimeClock clock) {
    this.source = Objects.requireNonNull(source);
    this.keeper = Objects.requireNonNull(keeper);
    this.parser = Objects.requireNonNull(parser);
    this.askPeers = Objects.requireNonNull(askPeers);
    this.clock = Objects.requireNonNull(clock);
  }

  /** Result of a step. */
  public enum PollResult {
    /** No configuration was ever accepted. */
    NO_CONFIGURATION,
    /** The revision in force is the newest. */
    CURRENT,
    /** A newer revision was put in force. */
    ADVANCED,
    /** There is a newer revision whose document could not be read; peers were asked for it. */
    DOCUMENT_MISSING,
    /** There is a newer revision that this release does not understand. */
    NOT_UNDERSTOOD
  }

  /**
   * Reads the head row, and the document if the head is newer than the revision in force.
   *
   * @throws PlatformException if the head row could not be read
   */
  public PollResult poll() throws PlatformException {
    long started = clock.nanoTime();
    Optional<RevisionRecord> head = source.head();
    if (head.isEmpty()) {
      keeper.recordRefresh(started);
      return PollResult.NO_CONFIGURATION;
    }
    if (head.get().revision() <= keeper.number()) {
      keeper.recordRefresh(started);
      return PollResult.CURRENT;
    }
    Optional<String> text = document(head.get().hash());
    if (text.isEmpty()) {
      askPeers.accept(head.get().revision());
      return PollResult.DOCUMENT_MISSING;
    }
    Optional<RouterConfiguration> configuration = parser.parse(text.get());
    if (configuration.isEmpty()) {
      return PollResult.NOT_UNDERSTOOD;
    }
    keeper.activateIfNewer(
        new RevisionedConfiguration(
            head.get().revision(), head.get().hash(), text.get(), configuration.get()));
    keeper.recordRefresh(started);
    return PollResult.ADVANCED;
  }

  private Optional<String> document(String hash) {
    try {
      return source.document(hash);
    } catch (PlatformException e) {
      // The peers that have the document are the fallback; the caller learns it from the step.
      return Optional.empty();
    }
  }

  /**
   * Returns how long to wait before the next step: uniform from half to one and a half the mean.
   */
  public static Duration randomPollDelay(RandomGenerator random) {
    return Duration.ofNanos((long) (MEAN_POLL_INTERVAL.toNanos() * (0.5 + random.nextDouble())));
  }
}
