package org.clementinequay.bench.soak;

import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Method;
import java.util.Locale;

/**
 * Calls single turns of duty threads of the server. Their own threads would run outside of virtual
 * time, and the methods that do one turn are not public.
 */
final class DutySteps {
  private DutySteps() {}

  /** Calls a method of the given name and arguments. */
  static void call(Object duty, String name, Object... arguments) throws Exception {
    for (Method method : duty.getClass().getDeclaredMethods()) {
      if (method.getName().equals(name) && method.getParameterCount() == arguments.length) {
        method.setAccessible(true);
        try {
          method.invoke(duty, arguments);
        } catch (InvocationTargetException e) {
          rethrow(e.getCause());
        }
        return;
      }
    }
    throw new NoSuchMethodException(
        String.format(Locale.ROOT, "%s.%s", duty.getClass().getName(), name));
  }

  private static void rethrow(Throwable cause) throws Exception {
    if (cause instanceof Error error) {
      throw error;
    }
    throw (Exception) cause;
  }
}
