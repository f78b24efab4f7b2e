package org.clementinequay.bench.soak;

import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Method;
import java.util.Locale;

/**
 * Calls one iteration of the loop of a background thread of the server. The threads of the server
 * would run outside of virtual time, and the methods for one iteration are not public, so they are
 * called by reflection.
 */
final class DutySteps {
  private DutySteps() {}

  /**
   * Calls the declared method with this name and number of arguments, and rethrows its exception.
   */
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
