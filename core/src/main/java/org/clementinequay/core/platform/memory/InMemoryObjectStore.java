package org.clementinequay.core.platform.memory;

import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import org.clementinequay.core.platform.ObjectStore;
import org.clementinequay.core.platform.PlatformException;

/** An object store in memory, for tests and stand-ins. */
public final class InMemoryObjectStore implements ObjectStore {
  private final CallHook hook;
  private final ConcurrentMap<String, byte[]> objects = new ConcurrentHashMap<>();

  /** Creates an empty store that runs the hook before and after each call. */
  public InMemoryObjectStore(CallHook hook) {
    this.hook = Objects.requireNonNull(hook);
  }

  @Override
  public boolean putIfAbsent(String name, byte[] content) throws PlatformException {
    hook.beforeEffect("put");
    boolean written = objects.putIfAbsent(name, content.clone()) == null;
    hook.afterEffect("put");
    return written;
  }

  @Override
  public Optional<byte[]> read(String name) throws PlatformException {
    hook.beforeEffect("get");
    Optional<byte[]> content = Optional.ofNullable(objects.get(name)).map(byte[]::clone);
    hook.afterEffect("get");
    return content;
  }
}
