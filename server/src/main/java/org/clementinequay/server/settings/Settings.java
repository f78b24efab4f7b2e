package org.clementinequay.server.settings;

import java.util.List;
import java.util.Optional;

/**
 * Settings that an entry host needs before it can read the configuration document.
 *
 * @param name name of the host, unique among all entry hosts
 * @param domain failure domain of the host
 * @param region region of the host
 * @param weight capacity relative to other entry hosts; 1 for an ordinary host
 * @param listeners addresses that the host listens on
 * @param platform addresses of the platform's services
 * @param sessionKeys keys of session tokens; the first signs, all verify
 * @param operators logins for the operators' interface
 * @param tls certificate for the callers' and operators' listeners; empty for plain HTTP
 * @param drainSeconds maximum time that open requests have to finish at a planned stop, in seconds
 * @param timeouts timeouts of platform calls and connections
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
   * Addresses that the host listens on, each an IP address and port; with port 0, the system
   * chooses a free port.
   *
   * @param callers address of the callers' interface
   * @param operators address of the operators' interface
   * @param peers address for links from other entry hosts
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
   * A key that signs and verifies session tokens.
   *
   * @param id short public identifier, contained in every token
   * @param secret at least 32 random bytes in Base64
   */
  public record SessionSecret(String id, String secret) {
    @Override
    public String toString() {
      return "SessionSecret[id=" + id + "]";
    }
  }

  /**
   * Login of an operator.
   *
   * @param name login name, also shown in the history of the configuration
   * @param passwordHash text form of a {@link PasswordHash}
   */
  public record OperatorLogin(String name, String passwordHash) {
    @Override
    public String toString() {
      return "OperatorLogin[name=" + name + "]";
    }
  }

  /**
   * Location of a certificate with its private key.
   *
   * @param keyStore path of a PKCS #12 file
   * @param passwordFile path of a file whose first line is the password of the key store
   */
  public record Tls(String keyStore, String passwordFile) {}

  /**
   * Timeouts of platform calls and connections.
   *
   * @param platformMillis time limit of one call to the platform, in milliseconds
   * @param progressMillis longest time without data on an upstream connection, in milliseconds
   * @param callerIdleMillis longest time in milliseconds in which a caller that is to send or read
   *     data does neither
   */
  public record Timeouts(int platformMillis, int progressMillis, int callerIdleMillis) {
    /** Defaults for timeouts that the settings omit. */
    public static final Timeouts DEFAULT = new Timeouts(2_000, 10_000, 30_000);
  }
}
