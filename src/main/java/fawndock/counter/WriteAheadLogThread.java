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
 * Writes the write-ahead log on its own thread, one work item at a time. The methods must be called
 * on the event loop, and results are delivered there. A failed write is retried until it succeeds.
 */
final class WriteAheadLogThread {
  private static final long RETRY_DELAY_MILLIS = 200;
  private static final int MAX_QUEUED_TASKS = 16;

  /** Receives the results of the work on the event loop. */
  interface Listener {
    /** Called when the work is written, and synced if that was requested. */
    void onWorkDone(LogWork work, long appendedBytes);

    /** Called when the work could not be written and will be retried. */
    void onStalled(String reason);

    /**
     * Called when a sync failed and the segment is abandoned: this work and all later changes are
     * in memory only.
     */
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

  /** Confined to the log thread. */
  private LogWriter writer;

  private volatile boolean isClosing;

  WriteAheadLogThread(Storage storage, Executor eventLoop) {
    this.storage = storage;
    this.eventLoop = eventLoop;
  }

  /** Sets the receiver of results. Must be called once, before the first work is submitted. */
  void setListener(Listener resultListener) {
    listener = resultListener;
  }

  static Thread newDaemonThread(Runnable task, String name) {
    Thread thread = new Thread(task, name);
    thread.setDaemon(true);
    return thread;
  }

  /**
   * Runs a task on the event loop. Drops the task if the event loop has ended, because nothing
   * waits for it then.
   */
  static void runOnEventLoop(Executor eventLoop, Runnable task) {
    try {
      eventLoop.execute(task);
    } catch (RejectedExecutionException e) {
      // The server has stopped in the meantime.
    }
  }

  private void runOnEventLoop(Runnable task) {
    runOnEventLoop(eventLoop, task);
  }

  /**
   * Performs the work on the log thread, followed by each group that is offered in the meantime.
   */
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
   * Offers a group that the log thread takes as soon as the previous one is done. This saves the
   * two threads from waking each other.
   */
  void offer(LogWork work) {
    offeredWork.set(work);
  }

  /** Withdraws the offered work. Returns false if the log thread has already taken it. */
  boolean withdraw() {
    return offeredWork.getAndSet(null) != null;
  }

  /** Performs one work item. Returns the work to perform next, or null. */
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
        // Queued tasks, such as the start of a segment, run first. In that case the event loop
        // submits the offered work later.
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
   * Starts a new segment.
   *
   * @param callback receives, on the event loop, the sequence number of the last record before the
   *     segment, or -1 if the segment could not be started
   */
  void roll(LongConsumer callback) {
    executor.execute(
        () -> {
          long sequence = -1;
          try {
            sequence = writer.roll();
          } catch (IOException e) {
            // The next work fails as well, and its error is reported.
          }
          long result = sequence;
          runOnEventLoop(() -> callback.accept(result));
        });
  }

  /**
   * Syncs the appended records.
   *
   * @param callback runs on the event loop after the sync; it does not run if the sync fails
   */
  void syncThen(Runnable callback) {
    executor.execute(
        () -> {
          try {
            writer.sync();
            runOnEventLoop(callback);
          } catch (IOException e) {
            // The next work fails as well, and its error is reported.
          }
        });
  }

  /**
   * Starts a new segment after a snapshot.
   *
   * @param coveredSequence the sequence number of the last record that the snapshot covers
   * @param callback receives, on the event loop, the failure or null on success
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
   * Completes the submitted work, syncs the log and ends the thread. Must be called once.
   *
   * @param timeoutMillis the time after which the thread is interrupted
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
            // Changes acknowledged with durability `always` are already synced.
          }
        });
    executor.shutdown();
    try {
      if (!executor.awaitTermination(timeoutMillis, TimeUnit.MILLISECONDS)) {
        var unused = executor.shutdownNow(); // The discarded work was not acknowledged.
      }
    } catch (InterruptedException e) {
      var unused = executor.shutdownNow(); // The discarded work was not acknowledged.
      Thread.currentThread().interrupt();
    }
  }
}
