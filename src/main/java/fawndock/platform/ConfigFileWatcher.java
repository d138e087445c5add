package fawndock.platform;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.BasicFileAttributes;
import java.nio.file.attribute.FileTime;
import java.util.concurrent.TimeUnit;

/**
 * Polls the configuration file and calls a listener when it has changed, for processes that cannot
 * receive the reload signal. The first check counts as a change, so that no change before it is
 * missed. Runs on its own daemon thread; {@link #close} may be called from any thread.
 */
final class ConfigFileWatcher implements AutoCloseable {
  /** Interval between checks. The platform expects a new configuration to be in use within 4 s. */
  private static final long CHECK_INTERVAL_MILLIS = 1_000;

  /**
   * Attributes that change with the file's content; {@code fileKey} changes when the file is
   * replaced.
   */
  private record FileVersion(FileTime modifiedAt, long sizeBytes, Object fileKey) {}

  private final Path file;
  private final Runnable listener;
  private final Thread thread = new Thread(this::watch, "configuration watcher");
  private FileVersion lastVersion;

  /** Creates a watcher that is not started; the listener is called on the watcher's thread. */
  ConfigFileWatcher(Path file, Runnable listener) {
    this.file = file;
    this.listener = listener;
    thread.setDaemon(true);
  }

  /** Starts watching. Call this once. */
  void start() {
    thread.start();
  }

  private void watch() {
    try {
      while (true) {
        checkFile();
        TimeUnit.MILLISECONDS.sleep(CHECK_INTERVAL_MILLIS);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void checkFile() {
    // The version is read before the listener reads the file, so that the next check detects a
    // change in between.
    FileVersion version = readVersion();
    if (version != null && !version.equals(lastVersion)) {
      lastVersion = version;
      listener.run();
    }
  }

  private FileVersion readVersion() {
    try {
      BasicFileAttributes attributes = Files.readAttributes(file, BasicFileAttributes.class);
      return new FileVersion(
          attributes.lastModifiedTime(), attributes.size(), attributes.fileKey());
    } catch (IOException e) {
      return null; // The file may be being replaced; the next check reads the new one.
    }
  }

  /** Stops watching. Idempotent. */
  @Override
  public void close() {
    thread.interrupt();
  }
}
