package org.clementinequay.server.peer;

/** Starts the threads of the links. */
final class Threads {
  private Threads() {}

  /** Starts a daemon thread that is named by its duty. */
  static Thread start(String name, Runnable duty) {
    Thread thread = new Thread(duty, name);
    thread.setDaemon(true);
    thread.start();
    return thread;
  }
}
