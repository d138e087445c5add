package fawndock.platform;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.BasicFileAttributes;
import java.nio.file.attribute.FileTime;
import java.util.concurrent.TimeUnit;

/**
 * Calls a listener when the configuration file has changed, for processes that cannot receive the
 * reload signal. The first look counts as a change, so that none is missed before it. Runs on a
 * daemon thread of its own; {@link #close} may be called from any thread.
 */
final class ConfigFileWatcher implements AutoCloseable {
  /** The platform expects a new configuration to be in use within 4 s. */
  private static final long CHECK_INTERVAL_MILLIS = 1_000;

  /** What tells one version of a file from another; {@code key} differs for a replaced file. */
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

  /** Starts watching; to be called once. */
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
    // Read before the listener reads the file: a change meanwhile is seen by the next check.
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
      return null; // Being replaced, perhaps; the next check sees the new file.
    }
  }

  /** Stops watching. Idempotent. */
  @Override
  public void close() {
    thread.interrupt();
  }
}
