package org.clementinequay.core.platform;

import java.util.Optional;

/** The platform's object store. Objects are immutable once written. */
public interface ObjectStore {
  /**
   * Writes an object unless an object of that name exists.
   *
   * @return false if an object of that name exists, which is then unchanged
   * @throws PlatformUnavailableException if nothing was written
   * @throws AnswerLostException if the object may have been written
   */
  boolean putIfAbsent(String name, byte[] content) throws PlatformException;

  /**
   * Reads an object; empty if there is none of that name.
   *
   * @throws PlatformException if no response was received
   */
  Optional<byte[]> read(String name) throws PlatformException;
}
