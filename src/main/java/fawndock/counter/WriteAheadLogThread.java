package fawndock.counter;

import fawndock.counter.storage.GroupCommit.LogWork;
import fawndock.counter.storage.LogWriter;
import fawndock.counter.storage.SnapshotWriter;
import fawndock.counter.storage.Storage;
import java.io.IOException;
import java.util.concurrent.Executor;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import java.util.function.LongConsumer;

/**
 * The thread that writes the write-ahead log, one piece of work at a time. Its methods are called
 * on the event loop, and its results come back there. Work that the disk does not take is tried
 * again until it does.
 */
final class WriteAheadLogThread {
  private static final long RETRY_DELAY_MILLIS = 200;
  private static final int MAX_QUEUED_TASKS = 16;

  /** Is called on the event loop with what became of the work. */
  interface Listener {
    /** The work is written, and synced if it was to be. */
    void onWorkDone(LogWork work, long appendedBytes);

    /** The work is not done yet, and is tried again. */
    void onStalled(String reason);

    /** A sync failed and the segment is given up: the work is in memory only, as all since. */
    void onSegmentAbandoned(LogWork work, long sequence, String reason);
  }

  private final Storage storage;
  private final AtomicReference<LogWork> offeredWork = new AtomicReference<>();
  private final ThreadPoolExecutor executor =
      new ThreadPoolExecutor(
          1,
          1,
          0,
          TimeUnit.SECONDS,
          new LinkedBlockingQueue<>(MAX_QUEUED_TASKS),
          r -> newDaemonThread(r, "log"));
  private final Executor eventLoop;
  private Listener listener;

  /** Used on the log's thread alone. */
  private LogWriter writer;

  private volatile boolean isClosing;

  WriteAheadLogThread(Storage storage, Executor eventLoop) {
    this.storage = storage;
    this.eventLoop = eventLoop;
  }

  /** Sets who is called with results; once, before the first work. */
  void setListener(Listener resultListener) {
    listener = resultListener;
  }

  static Thread newDaemonThread(Runnable task, String name) {
    Thread thread = new Thread(task, name);
    thread.setDaemon(true);
    return thread;
  }

  /** Runs a task on the event loop, unless that has ended: then nobody waits for it. */
  static void runOnEventLoop(Executor eventLoop, Runnable task) {
    try {
      eventLoop.execute(task);
    } catch (RejectedExecutionException e) {
      // The server has stopped meanwhile.
    }
  }

  private void runOnEventLoop(Runnable task) {
    runOnEventLoop(eventLoop, task);
  }

  /** Does the work, then each group that was offered meanwhile. */
  void submit(LogWork work) {
    executor.execute(
        () -> {
          LogWork next = work;
          while (next != null) {
            next = performWork(next);
          }
        });
  }

  /**
   * Has a group taken as soon as the one before is done, which spares two threads waking each
   * other.
   */
  void offer(LogWork work) {
    offeredWork.set(work);
  }

  /** Takes back what was offered; false when it was taken. */
  boolean withdraw() {
    return offeredWork.getAndSet(null) != null;
  }

  /** Does one piece of work; returns what is to be done after it, or null. */
  private LogWork performWork(LogWork work) {
    boolean isAppended = work.record() == null;
    while (true) {
      try {
        if (!isAppended) {
          writer.append(work.record());
          isAppended = true;
        }
        if (work.shouldSync()) {
          writer.sync();
        }
        long bytes = writer.appendedBytes();
        // Others that wait, such as to begin a segment, go first: what was offered is then handed
        // on by the loop.
        LogWork next = executor.getQueue().isEmpty() ? offeredWork.getAndSet(null) : null;
        runOnEventLoop(() -> listener.onWorkDone(work, bytes));
        return next;
      } catch (IOException e) {
        String reason = String.valueOf(e.getMessage());
        if (writer.isAbandoned()) {
          long sequence = writer.lastSequence();
          runOnEventLoop(() -> listener.onSegmentAbandoned(work, sequence, reason));
          return null;
        }
        runOnEventLoop(() -> listener.onStalled(reason));
      }
      if (isClosing || !sleepBeforeRetry()) {
        return null;
      }
    }
  }

  private static boolean sleepBeforeRetry() {
    try {
      Thread.sleep(RETRY_DELAY_MILLIS);
      return true;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return false;
    }
  }

  /**
   * Begins a new segment.
   *
   * @param callback is called on the event loop with the sequence before it, or -1 when it could
   *     not be begun
   */
  void roll(LongConsumer callback) {
    executor.execute(
        () -> {
          long sequence = -1;
          try {
            sequence = writer.roll();
          } catch (IOException e) {
            // The next work fails too, and its error is reported.
          }
          long result = sequence;
          runOnEventLoop(() -> callback.accept(result));
        });
  }

  /**
   * Syncs what was appended.
   *
   * @param callback is called on the event loop once that is done; never when it cannot be
   */
  void syncThen(Runnable callback) {
    executor.execute(
        () -> {
          try {
            writer.sync();
            runOnEventLoop(callback);
          } catch (IOException e) {
            // The next work fails too, and its error is reported.
          }
        });
  }

  /**
   * Goes on in a new segment after a snapshot.
   *
   * @param coveredSequence the last record that the snapshot covers
   * @param callback is called on the event loop with the failure, or null
   */
  void startNewSegment(long coveredSequence, Consumer<IOException> callback) {
    executor.execute(
        () -> {
          IOException failure = null;
          try {
            if (writer != null) {
              writer.close();
            }
            writer = new LogWriter(storage, coveredSequence);
            SnapshotWriter.deleteObsoleteFiles(storage, coveredSequence);
          } catch (IOException e) {
            failure = e;
          }
          IOException result = failure;
          runOnEventLoop(() -> callback.accept(result));
        });
  }

  /**
   * Syncs what is not yet, and ends after the work that was given; once.
   *
   * @param timeoutMillis after which the thread is interrupted
   */
  void close(long timeoutMillis) {
    isClosing = true;
    executor.execute(
        () -> {
          try {
            if (writer != null && !writer.isAbandoned()) {
              writer.sync();
            }
            if (writer != null) {
              writer.close();
            }
          } catch (IOException e) {
            // What was acknowledged under `always` is synced by now.
          }
        });
    executor.shutdown();
    try {
      if (!executor.awaitTermination(timeoutMillis, TimeUnit.MILLISECONDS)) {
        var unused = executor.shutdownNow(); // What did not run was not acknowledged.
      }
    } catch (InterruptedException e) {
      var unused = executor.shutdownNow(); // What did not run was not acknowledged.
      Thread.currentThread().interrupt();
    }
  }
}
