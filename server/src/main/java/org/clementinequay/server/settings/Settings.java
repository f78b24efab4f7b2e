package org.clementinequay.server.settings;

import java.util.List;
import java.util.Optional;

/**
 * What one entry host needs to know before it can read the configuration document.
 *
 * @param name name of the host, unique over all entry hosts
 * @param domain failure domain that the host is in
 * @param region region that the host is in
 * @param weight size relative to other entry hosts, 1 for an ordinary one
 * @param listeners addresses that the host listens on
 * @param platform addresses of the platform's services
 * @param sessionKeys keys of session tokens; the first signs, all verify
 * @param operators who may use the operators' interface
 * @param tls certificate of the callers' and operators' listeners; plain HTTP if absent
 * @param drainSeconds longest time for open requests at a planned stop, in seconds
 * @param timeouts limits on waiting
 */
public record Settings(
    String name,
    String domain,
    String region,
    double weight,
    Listeners listeners,
    Platform platform,
    List<SessionSecret> sessionKeys,
    List<OperatorLogin> operators,
    Optional<Tls> tls,
    int drainSeconds,
    Timeouts timeouts) {
  /** Copies the lists. */
  public Settings {
    sessionKeys = List.copyOf(sessionKeys);
    operators = List.copyOf(operators);
  }

  /**
   * Addresses that the host listens on, each an IP address and port; port 0 takes a free one.
   *
   * @param callers callers' interface
   * @param operators operators' interface
   * @param peers links between entry hosts
   */
  public record Listeners(String callers, String operators, String peers) {}

  /**
   * Addresses of the platform's services, each an IP address and port.
   *
   * @param tableService transactional table service
   * @param objectStore object store
   * @param hostDirectory list of live and leaving hosts
   * @param ratingService service that rates answers
   */
  public record Platform(
      String tableService, String objectStore, String hostDirectory, String ratingService) {}

  /**
   * A key of session tokens.
   *
   * @param id short public name, part of every token
   * @param secret at least 32 random bytes in Base64
   */
  public record SessionSecret(String id, String secret) {
    @Override
    public String toString() {
      return "SessionSecret[id=" + id + "]";
    }
  }

  /**
   * An operator.
   *
   * @param name name that appears in the history of the configuration
   * @param passwordHash text form of a {@link PasswordHash}
   */
  public record OperatorLogin(String name, String passwordHash) {
    @Override
    public String toString() {
      return "OperatorLogin[name=" + name + "]";
    }
  }

  /**
   * A certificate with its key.
   *
   * @param keyStore path of a PKCS #12 file
   * @param passwordFile path of a file whose first line is the password of the key store
   */
  public record Tls(String keyStore, String passwordFile) {}

  /**
   * Limits on waiting.
   *
   * @param platformMillis longest time for one call to the platform, in milliseconds
   * @param progressMillis longest silence of an upstream connection, in milliseconds
   * @param callerIdleMillis longest silence of a caller that is to send or to read, in milliseconds
   */
  public record Timeouts(int platformMillis, int progressMillis, int callerIdleMillis) {
    /** Used where the settings state none. */
    public static final Timeouts DEFAULT = new Timeouts(2_000, 10_000, 30_000);
  }
}
