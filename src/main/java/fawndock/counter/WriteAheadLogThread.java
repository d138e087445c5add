package fawndock.counter;

import fawndock.counter.storage.GroupCommit.LogWork;
import fawndock.counter.storage.LogWriter;
import fawndock.counter.storage.SnapshotWriter;
import fawndock.counter.storage.Storage;
import java.io.IOException;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;

/**
 * The thread that writes the log: one piece of work at a time, each told about on the event loop.
 * Work that the disk has no room for is tried again until it has.
 */
final class WriteAheadLogThread {
  private static final long RETRY_MILLIS = 200;
  private static final int MAX_TASKS = 16;

  /** Is told on the event loop what became of the work. */
  interface Listener {
    void onWorkDone(LogWork work, long appended);

    /** Not done yet, and being tried again. */
    void onStalled(String why);

    /** The file is given up; the work is in memory only, as all that came since. */
    void onSegmentAbandoned(LogWork work, long sequence, String why);
  }

  private final Storage disk;
  private final AtomicReference<LogWork> offered = new AtomicReference<>();
  private final ThreadPoolExecutor executor =
      new ThreadPoolExecutor(
          1, 1, 0, TimeUnit.SECONDS, new LinkedBlockingQueue<>(MAX_TASKS), r -> daemon(r, "log"));
  private final java.util.concurrent.Executor loop;
  private final Listener listener;
  private LogWriter writer;
  private volatile boolean isClosing;

  WriteAheadLogThread(Storage disk, java.util.concurrent.Executor loop, Listener told) {
    this.disk = disk;
    this.loop = loop;
    this.listener = told;
  }

  static Thread daemon(Runnable what, String name) {
    Thread thread = new Thread(what, name);
    thread.setDaemon(true);
    return thread;
  }

  /** Tells the event loop, unless it has ended: then nobody is left to be told. */
  static void post(java.util.concurrent.Executor loop, Runnable what) {
    try {
      loop.execute(what);
    } catch (java.util.concurrent.RejectedExecutionException e) {
      // Stopped meanwhile.
    }
  }

  private void post(Runnable what) {
    post(loop, what);
  }

  /** Does the work, then what was offered meanwhile, one after the other. */
  void perform(LogWork work) {
    executor.execute(
        () -> {
          LogWork next = work;
          while (next != null) {
            next = performOne(next);
          }
        });
  }

  /**
   * Has a group taken as soon as the one before is done, which spares two threads waking each
   * other.
   */
  void offer(LogWork work) {
    offered.set(work);
  }

  /** Takes back what was offered; false when it was taken. */
  boolean withdraw() {
    return offered.getAndSet(null) != null;
  }

  /** Does one piece of work; returns what is to be done after it, or null. */
  private LogWork performOne(LogWork work) {
    boolean appended = work.record() == null;
    while (true) {
      try {
        if (!appended) {
          writer.append(work.record());
          appended = true;
        }
        if (work.shouldSync()) {
          writer.sync();
        }
        long bytes = writer.appendedBytes();
        // Others that wait, such as to begin a segment, go first: what was offered is then handed
        // on by the loop.
        LogWork next = executor.getQueue().isEmpty() ? offered.getAndSet(null) : null;
        post(() -> listener.onWorkDone(work, bytes));
        return next;
      } catch (IOException e) {
        String why = String.valueOf(e.getMessage());
        if (writer.isAbandoned()) {
          long sequence = writer.lastSequence();
          post(() -> listener.onSegmentAbandoned(work, sequence, why));
          return null;
        }
        post(() -> listener.onStalled(why));
      }
      if (isClosing || !sleepBeforeRetry()) {
        return null;
      }
    }
  }

  private static boolean sleepBeforeRetry() {
    try {
      Thread.sleep(RETRY_MILLIS);
      return true;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return false;
    }
  }

  /**
   * Begins a new segment and tells, on the event loop, the sequence before it, or -1 when it cannot
   * be.
   */
  void roll(java.util.function.LongConsumer then) {
    executor.execute(
        () -> {
          long sequence = -1;
          try {
            sequence = writer.roll();
          } catch (IOException e) {
            // Work that comes next tells what is wrong.
          }
          long found = sequence;
          post(() -> then.accept(found));
        });
  }

  /** Syncs what was appended, then goes on, on the event loop; does not when it cannot. */
  void syncThen(Runnable then) {
    executor.execute(
        () -> {
          try {
            writer.sync();
            post(then);
          } catch (IOException e) {
            // Work that comes next tells what is wrong.
          }
        });
  }

  /**
   * Goes on in a new file after a snapshot that covers all up to a sequence; tells whether it
   * could.
   */
  void startNewSegment(long covered, java.util.function.Consumer<IOException> then) {
    executor.execute(
        () -> {
          IOException failure = null;
          try {
            if (writer != null) {
              writer.close();
            }
            writer = new LogWriter(disk, covered);
            SnapshotWriter.deleteObsoleteFiles(disk, covered);
          } catch (IOException e) {
            failure = e;
          }
          IOException found = failure;
          post(() -> then.accept(found));
        });
  }

  /** Ends after what was asked; syncs what is not yet. */
  void close(long millis) {
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
      if (!executor.awaitTermination(millis, TimeUnit.MILLISECONDS)) {
        executor.shutdownNow();
      }
    } catch (InterruptedException e) {
      executor.shutdownNow();
      Thread.currentThread().interrupt();
    }
  }
}
