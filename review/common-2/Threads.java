/** Daemon threads and sleeping. */
final class Threads {
  private Threads() {}

  static Thread start(String name, Runnable task) {
    Thread thread = new Thread(null, task, name, 256 << 10);
    thread.setDaemon(true);
    thread.start();
    return thread;
  }

  static void sleep(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
