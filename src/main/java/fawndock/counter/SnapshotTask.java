package fawndock.counter;

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
 * Writes one snapshot at a time: the event loop takes a piece of the table, the thread writes it,
 * and only then the next is taken. So one piece is in memory, and calls between the pieces wait for
 * none.
 */
final class SnapshotTask {
  private final Storage disk;
  private final Executor loop;
  private final CommandExecutor engine;
  private final ExecutorService thread =
      Executors.newSingleThreadExecutor(r -> WriteAheadLogThread.daemon(r, "snapshot"));
  private Run current;
  private Run last;
  private volatile long lastSize;

  SnapshotTask(Storage disk, Executor loop, CommandExecutor engine) {
    this.disk = disk;
    this.loop = loop;
    this.engine = engine;
  }

  private void post(Runnable what) {
    WriteAheadLogThread.post(loop, what);
  }

  /** Bytes of the last whole one. */
  long lastSize() {
    return lastSize;
  }

  boolean active() {
    return current != null;
  }

  /** Gives up what is being written, if anything; its file goes before the next begins. */
  void abandon() {
    current = null;
  }

  /**
   * Writes one.
   *
   * @param covered sequence of the last record before it
   * @param settle called when all is written, with what to go on with once every change in it is
   *     durable
   * @param then told how it ended, null when well; not told when it was abandoned
   */
  void begin(long covered, Consumer<Runnable> settle, Consumer<IOException> then) {
    Run before = last;
    if (before != null) {
      thread.execute(before::remove);
    }
    current = new Run(covered, settle, then);
    last = current;
    current.next(List.of());
  }

  void close() {
    current = null;
    thread.shutdownNow();
  }

  private final class Run {
    private final long covered;
    private final Consumer<Runnable> settle;
    private final Consumer<IOException> then;
    private final SnapshotIterator walk = new SnapshotIterator(engine.counts().table());
    private SnapshotWriter writer; // Used on the thread alone.

    Run(long covered, Consumer<Runnable> settle, Consumer<IOException> then) {
      this.covered = covered;
      this.settle = settle;
      this.then = then;
    }

    /** Writes these parts, then takes the next. */
    private void next(List<SnapshotPart> parts) {
      long time = engine.now();
      thread.execute(
          () -> {
            try {
              writer = writer == null ? new SnapshotWriter(disk, covered) : writer;
              for (SnapshotPart part : parts) {
                writer.write(part.changes(), part.nameCount(), time);
              }
              post(this::written);
            } catch (IOException e) {
              failed(e);
            }
          });
    }

    private void written() {
      if (current != this) {
        return;
      }
      List<SnapshotPart> parts = walk.next(engine.now());
      if (parts.isEmpty()) {
        settle.accept(() -> finish(engine.now()));
      } else {
        next(parts);
      }
    }

    private void remove() {
      if (writer != null) {
        writer.abandon();
        writer = null;
      }
    }

    private void finish(long time) {
      if (current != this) {
        return;
      }
      thread.execute(
          () -> {
            try {
              writer.finish(time);
              lastSize = writer.sizeBytes();
              writer = null;
              SnapshotWriter.deleteObsoleteFiles(disk, covered);
              post(() -> end(null));
            } catch (IOException e) {
              failed(e);
            }
          });
    }

    private void failed(IOException e) {
      remove();
      post(() -> end(e));
    }

    private void end(IOException failure) {
      if (current == this) {
        current = null;
        then.accept(failure);
      }
    }
  }
}
