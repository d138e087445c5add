package fawndock.counter;

import fawndock.counter.storage.GroupCommit.Work;
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
final class LogThread {
  private static final long RETRY_MILLIS = 200;
  private static final int MOST_TASKS = 16;

  /** Is told on the event loop what became of the work. */
  interface Told {
    void done(Work work, long appended);

    /** Not done yet, and being tried again. */
    void stalled(String why);

    /** The file is given up; the work is in memory only, as all that came since. */
    void broken(Work work, long sequence, String why);
  }

  private final Storage disk;
  private final AtomicReference<Work> offered = new AtomicReference<>();
  private final ThreadPoolExecutor thread =
      new ThreadPoolExecutor(
          1, 1, 0, TimeUnit.SECONDS, new LinkedBlockingQueue<>(MOST_TASKS), r -> daemon(r, "log"));
  private final java.util.concurrent.Executor loop;
  private final Told told;
  private LogWriter writer;
  private volatile boolean closing;

  LogThread(Storage disk, java.util.concurrent.Executor loop, Told told) {
    this.disk = disk;
    this.loop = loop;
    this.told = told;
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
  void perform(Work work) {
    thread.execute(
        () -> {
          Work next = work;
          while (next != null) {
            next = one(next);
          }
        });
  }

  /**
   * Has a group taken as soon as the one before is done, which spares two threads waking each
   * other.
   */
  void offer(Work work) {
    offered.set(work);
  }

  /** Takes back what was offered; false when it was taken. */
  boolean withdraw() {
    return offered.getAndSet(null) != null;
  }

  /** Does one piece of work; returns what is to be done after it, or null. */
  private Work one(Work work) {
    boolean appended = work.record() == null;
    while (true) {
      try {
        if (!appended) {
          writer.append(work.record());
          appended = true;
        }
        if (work.sync()) {
          writer.sync();
        }
        long bytes = writer.appended();
        // Others that wait, such as to begin a segment, go first: what was offered is then handed
        // on by the loop.
        Work next = thread.getQueue().isEmpty() ? offered.getAndSet(null) : null;
        post(() -> told.done(work, bytes));
        return next;
      } catch (IOException e) {
        String why = String.valueOf(e.getMessage());
        if (writer.failed()) {
          long sequence = writer.sequence();
          post(() -> told.broken(work, sequence, why));
          return null;
        }
        post(() -> told.stalled(why));
      }
      if (closing || !pause()) {
        return null;
      }
    }
  }

  private static boolean pause() {
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
    thread.execute(
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
  void settle(Runnable then) {
    thread.execute(
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
  void anew(long covered, java.util.function.Consumer<IOException> then) {
    thread.execute(
        () -> {
          IOException failure = null;
          try {
            if (writer != null) {
              writer.close();
            }
            writer = new LogWriter(disk, covered);
            SnapshotWriter.clean(disk, covered);
          } catch (IOException e) {
            failure = e;
          }
          IOException found = failure;
          post(() -> then.accept(found));
        });
  }

  /** Ends after what was asked; syncs what is not yet. */
  void close(long millis) {
    closing = true;
    thread.execute(
        () -> {
          try {
            if (writer != null && !writer.failed()) {
              writer.sync();
            }
            if (writer != null) {
              writer.close();
            }
          } catch (IOException e) {
            // What was acknowledged under `always` is synced by now.
          }
        });
    thread.shutdown();
    try {
      if (!thread.awaitTermination(millis, TimeUnit.MILLISECONDS)) {
        thread.shutdownNow();
      }
    } catch (InterruptedException e) {
      thread.shutdownNow();
      Thread.currentThread().interrupt();
    }
  }
}
