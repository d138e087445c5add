package fawndock.counter;

import fawndock.counter.storage.CounterTable;
import fawndock.counter.storage.SnapshotIterator;
import fawndock.counter.storage.SnapshotIterator.SnapshotPart;
import fawndock.counter.storage.SnapshotWriter;
import fawndock.counter.storage.Storage;
import java.io.IOException;
import java.util.List;
import java.util.concurrent.Executor;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.function.Consumer;

/**
 * Writes one snapshot at a time. The event loop copies a part of the table, the snapshot thread
 * writes it, and only then the next part is copied. Therefore only one part is in memory, and
 * commands run between the parts. The methods must be called on the event loop.
 */
final class SnapshotTask implements AutoCloseable {
  private final Storage storage;
  private final Executor eventLoop;
  private final CounterTable table;
  private final ServerClock clock;
  private final ExecutorService executor =
      Executors.newSingleThreadExecutor(r -> WriteAheadLogThread.newDaemonThread(r, "snapshot"));
  private SnapshotRun currentRun;
  private SnapshotRun previousRun;
  private volatile long lastSizeBytes;

  SnapshotTask(Storage storage, Executor eventLoop, CounterTable table, ServerClock clock) {
    this.storage = storage;
    this.eventLoop = eventLoop;
    this.table = table;
    this.clock = clock;
  }

  private void runOnEventLoop(Runnable task) {
    WriteAheadLogThread.runOnEventLoop(eventLoop, task);
  }

  /** Returns the size of the last snapshot that this process completed, 0 if there is none. */
  long lastSizeBytes() {
    return lastSizeBytes;
  }

  boolean isActive() {
    return currentRun != null;
  }

  /**
   * Abandons the active snapshot, if there is one. Its file is removed before the next snapshot
   * starts.
   */
  void abandon() {
    currentRun = null;
  }

  /**
   * Starts a snapshot.
   *
   * @param coveredSequence the sequence number of the last log record before the snapshot
   * @param runWhenDurable is called when all parts are written, with a task that it must run once
   *     every change in the snapshot is durable in the log
   * @param onCompletion receives the failure, or null on success; is not called if the snapshot is
   *     abandoned
   */
  void start(
      long coveredSequence, Consumer<Runnable> runWhenDurable, Consumer<IOException> onCompletion) {
    SnapshotRun unfinishedRun = previousRun;
    if (unfinishedRun != null) {
      executor.execute(unfinishedRun::removeFile);
    }
    currentRun = new SnapshotRun(coveredSequence, runWhenDurable, onCompletion);
    previousRun = currentRun;
    currentRun.write(List.of());
  }

  /** Abandons the active snapshot and ends the thread. Idempotent. */
  @Override
  public void close() {
    currentRun = null;
    var unused = executor.shutdownNow(); // The discarded tasks belong to an abandoned snapshot.
  }

  /** The writing of one snapshot. */
  private final class SnapshotRun {
    private final long coveredSequence;
    private final Consumer<Runnable> runWhenDurable;
    private final Consumer<IOException> onCompletion;
    private final SnapshotIterator iterator = new SnapshotIterator(table);

    /** Confined to the snapshot thread; null before the first part and after the end. */
    private SnapshotWriter writer;

    SnapshotRun(
        long coveredSequence,
        Consumer<Runnable> runWhenDurable,
        Consumer<IOException> onCompletion) {
      this.coveredSequence = coveredSequence;
      this.runWhenDurable = runWhenDurable;
      this.onCompletion = onCompletion;
    }

    /** Writes these parts, then fetches the next ones. */
    private void write(List<SnapshotPart> parts) {
      long nowMillis = clock.nowMillis();
      executor.execute(
          () -> {
            try {
              writer = writer == null ? new SnapshotWriter(storage, coveredSequence) : writer;
              for (SnapshotPart part : parts) {
                writer.write(part.changes(), part.nameCount(), nowMillis);
              }
              runOnEventLoop(this::onWritten);
            } catch (IOException e) {
              fail(e);
            }
          });
    }

    private void onWritten() {
      if (currentRun != this) {
        return;
      }
      List<SnapshotPart> parts = iterator.next(clock.nowMillis());
      if (parts.isEmpty()) {
        runWhenDurable.accept(() -> finish(clock.nowMillis()));
      } else {
        write(parts);
      }
    }

    private void removeFile() {
      if (writer != null) {
        writer.abandon();
        writer = null;
      }
    }

    private void finish(long nowMillis) {
      if (currentRun != this) {
        return;
      }
      executor.execute(
          () -> {
            try {
              writer.finish(nowMillis);
              lastSizeBytes = writer.sizeBytes();
              writer = null;
              SnapshotWriter.deleteObsoleteFiles(storage, coveredSequence);
              runOnEventLoop(() -> complete(null));
            } catch (IOException e) {
              fail(e);
            }
          });
    }

    private void fail(IOException e) {
      removeFile();
      runOnEventLoop(() -> complete(e));
    }

    private void complete(IOException failure) {
      if (currentRun == this) {
        currentRun = null;
        onCompletion.accept(failure);
      }
    }
  }
}
