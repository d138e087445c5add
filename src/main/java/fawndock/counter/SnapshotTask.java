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
 * Writes one snapshot at a time. The event loop takes a piece of the table, the snapshot thread
 * writes it, and only then the next is taken: one piece is in memory, and commands run between the
 * pieces. Its methods are called on the event loop.
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

  /** Bytes of the last whole snapshot of this process, 0 for none. */
  long lastSizeBytes() {
    return lastSizeBytes;
  }

  boolean isActive() {
    return currentRun != null;
  }

  /** Gives up what is being written, if anything; its file is removed before the next begins. */
  void abandon() {
    currentRun = null;
  }

  /**
   * Begins a snapshot.
   *
   * @param coveredSequence of the last record before it
   * @param whenDurable is called when all is written, with what to go on with once every change in
   *     the snapshot is durable in the log
   * @param onEnd is called with the failure, or null; not when the snapshot was abandoned
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

  /** Gives up what is being written and ends the thread; may be called again. */
  @Override
  public void close() {
    currentRun = null;
    var unused =
        executor.shutdownNow(); // What did not run is the rest of a snapshot that is given up.
  }

  /** One snapshot. */
  private final class SnapshotRun {
    private final long coveredSequence;
    private final Consumer<Runnable> runWhenDurable;
    private final Consumer<IOException> onCompletion;
    private final SnapshotIterator iterator = new SnapshotIterator(table);

    /** Used on the snapshot thread alone; null before the first piece and after the end. */
    private SnapshotWriter writer;

    SnapshotRun(
        long coveredSequence,
        Consumer<Runnable> runWhenDurable,
        Consumer<IOException> onCompletion) {
      this.coveredSequence = coveredSequence;
      this.runWhenDurable = runWhenDurable;
      this.onCompletion = onCompletion;
    }

    /** Writes these parts, then takes the next. */
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
