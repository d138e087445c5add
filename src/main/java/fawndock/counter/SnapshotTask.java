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
  private final Executor loop;
  private final CounterTable table;
  private final ServerClock clock;
  private final ExecutorService thread =
      Executors.newSingleThreadExecutor(r -> WriteAheadLogThread.daemon(r, "snapshot"));
  private Run current;
  private Run previous;
  private volatile long lastSizeBytes;

  SnapshotTask(Storage storage, Executor loop, CounterTable table, ServerClock clock) {
    this.storage = storage;
    this.loop = loop;
    this.table = table;
    this.clock = clock;
  }

  private void post(Runnable task) {
    WriteAheadLogThread.post(loop, task);
  }

  /** Bytes of the last whole snapshot of this process, 0 for none. */
  long lastSizeBytes() {
    return lastSizeBytes;
  }

  boolean isActive() {
    return current != null;
  }

  /** Gives up what is being written, if anything; its file is removed before the next begins. */
  void abandon() {
    current = null;
  }

  /**
   * Begins a snapshot.
   *
   * @param coveredSequence of the last record before it
   * @param whenDurable is called when all is written, with what to go on with once every change in
   *     the snapshot is durable in the log
   * @param onEnd is called with the failure, or null; not when the snapshot was abandoned
   */
  void begin(long coveredSequence, Consumer<Runnable> whenDurable, Consumer<IOException> onEnd) {
    Run unfinished = previous;
    if (unfinished != null) {
      thread.execute(unfinished::removeFile);
    }
    current = new Run(coveredSequence, whenDurable, onEnd);
    previous = current;
    current.write(List.of());
  }

  /** Gives up what is being written and ends the thread; may be called again. */
  @Override
  public void close() {
    current = null;
    var unused =
        thread.shutdownNow(); // What did not run is the rest of a snapshot that is given up.
  }

  /** One snapshot. */
  private final class Run {
    private final long coveredSequence;
    private final Consumer<Runnable> whenDurable;
    private final Consumer<IOException> onEnd;
    private final SnapshotIterator iterator = new SnapshotIterator(table);

    /** Used on the snapshot thread alone; null before the first piece and after the end. */
    private SnapshotWriter writer;

    Run(long coveredSequence, Consumer<Runnable> whenDurable, Consumer<IOException> onEnd) {
      this.coveredSequence = coveredSequence;
      this.whenDurable = whenDurable;
      this.onEnd = onEnd;
    }

    /** Writes these parts, then takes the next. */
    private void write(List<SnapshotPart> parts) {
      long nowMillis = clock.nowMillis();
      thread.execute(
          () -> {
            try {
              writer = writer == null ? new SnapshotWriter(storage, coveredSequence) : writer;
              for (SnapshotPart part : parts) {
                writer.write(part.changes(), part.nameCount(), nowMillis);
              }
              post(this::onWritten);
            } catch (IOException e) {
              fail(e);
            }
          });
    }

    private void onWritten() {
      if (current != this) {
        return;
      }
      List<SnapshotPart> parts = iterator.next(clock.nowMillis());
      if (parts.isEmpty()) {
        whenDurable.accept(() -> finish(clock.nowMillis()));
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
      if (current != this) {
        return;
      }
      thread.execute(
          () -> {
            try {
              writer.finish(nowMillis);
              lastSizeBytes = writer.sizeBytes();
              writer = null;
              SnapshotWriter.deleteObsoleteFiles(storage, coveredSequence);
              post(() -> end(null));
            } catch (IOException e) {
              fail(e);
            }
          });
    }

    private void fail(IOException e) {
      removeFile();
      post(() -> end(e));
    }

    private void end(IOException failure) {
      if (current == this) {
        current = null;
        onEnd.accept(failure);
      }
    }
  }
}
