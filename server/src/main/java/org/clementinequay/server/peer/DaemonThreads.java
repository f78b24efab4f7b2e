package org.clementinequay.server.peer;

/** Starts daemon threads. */
final class DaemonThreads {
  private DaemonThreads() {}

  static Thread start(String name, Runnable task) {
    Thread thread = new Thread(task, name);
    thread.setDaemon(true);
    thread.start();
    return thread;
  }
}
