package org.clementinequay.core.platform;

import java.util.Optional;

/** The platform's object store. Objects are immutable once written. */
public interface ObjectStore {
  /**
   * Writes an object unless one of that name exists.
   *
   * @return false if the name was taken; the object there is unchanged
   * @throws PlatformUnavailableException if nothing was written
   * @throws AnswerLostException if the object may have been written
   */
  boolean putIfAbsent(String name, byte[] content) throws PlatformException;

  /**
   * Reads an object.
   *
   * @throws PlatformException if no answer was received
   */
  Optional<byte[]> read(String name) throws PlatformException;
}
