package fawndock.counter;

import fawndock.counter.storage.CounterTable;
import fawndock.counter.storage.GroupCommit;
import fawndock.counter.storage.GroupCommit.LogWork;
import io.netty.util.concurrent.EventExecutor;
import java.io.IOException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Handles the results of log writes: it releases replies, takes snapshots, and starts a new log
 * after a failed sync. Confined to the event loop.
 *
 * <p>Invariant: a segment whose sync failed is never written again. Before changes are accepted
 * again, the whole state in memory is written to a snapshot and a new segment is started after it.
 */
final class LogSupervisor implements WriteAheadLogThread.Listener {
  private static final Logger LOG = LoggerFactory.getLogger(LogSupervisor.class);
  private static final long NEW_LOG_RETRY_MILLIS = 1_000;
  private static final long DURABILITY_POLL_MILLIS = 2;

  /** The minimum time between the start of a failed snapshot and that of the next one. */
  private static final long SNAPSHOT_BACKOFF_NANOS = 10_000_000_000L;

  private final long snapshotAfterBytes;
  private final EventExecutor eventLoop;
  private final GroupCommit groupCommit;
  private final CommitScheduler commitScheduler;
  private final WriteAheadLogThread logThread;
  private final SnapshotTask snapshotTask;
  private final CounterTable table;
  private final CompletableFuture<Void> firstAttempt = new CompletableFuture<>();
  private long appendedGroup;
  private long earliestSnapshotNanos = System.nanoTime();
  private LogState state = LogState.STARTING;
  private boolean isStopping;

  LogSupervisor(
      long snapshotAfterBytes,
      EventExecutor eventLoop,
      GroupCommit groupCommit,
      CommitScheduler commitScheduler,
      WriteAheadLogThread logThread,
      SnapshotTask snapshotTask,
      CounterTable table) {
    this.snapshotAfterBytes = snapshotAfterBytes;
    this.eventLoop = eventLoop;
    this.groupCommit = groupCommit;
    this.commitScheduler = commitScheduler;
    this.logThread = logThread;
    this.snapshotTask = snapshotTask;
    this.table = table;
  }

  /**
   * Starts a log after the recovered records, and retries until that succeeds.
   *
   * @return a future that completes when the first attempt has succeeded or failed
   */
  CompletableFuture<Void> start(long recoveredSequence) {
    eventLoop.execute(() -> startNewLog(null, recoveredSequence));
    return firstAttempt;
  }

  /** Prevents further snapshots and new logs from being started. */
  void stop() {
    isStopping = true;
  }

  @Override
  public void onWorkDone(LogWork work, long appendedBytes) {
    if (state == LogState.STALLED) {
      LOG.info("the log is written again");
    }
    state = state.transitionTo(LogState.WRITABLE);
    groupCommit.onWorkDone(work.groupNumber());
    appendedGroup = work.groupNumber();
    commitScheduler.releaseReplies(work.groupNumber());
    commitScheduler.commitNow();
    if (isSnapshotDue(appendedBytes)) {
      takeSnapshot();
    }
  }

  /**
   * Returns whether to take a snapshot. The log has to outgrow the last snapshot first, because
   * otherwise writing snapshots would cost more than writing the log.
   */
  private boolean isSnapshotDue(long appendedBytes) {
    return appendedBytes >= Math.max(snapshotAfterBytes, snapshotTask.lastSizeBytes())
        && !snapshotTask.isActive()
        && System.nanoTime() - earliestSnapshotNanos >= 0
        && !isStopping;
  }

  private void takeSnapshot() {
    // Delays the next attempt if this snapshot fails, for example for lack of disk space.
    earliestSnapshotNanos = System.nanoTime() + SNAPSHOT_BACKOFF_NANOS;
    logThread.roll(
        coveredSequence -> {
          if (coveredSequence < 0 || snapshotTask.isActive() || groupCommit.rejection() != null) {
            return;
          }
          long startedNanos = System.nanoTime();
          snapshotTask.start(
              coveredSequence,
              this::runWhenAllDurable,
              failure -> onSnapshotCompleted(failure, coveredSequence, startedNanos));
        });
  }

  private void onSnapshotCompleted(IOException failure, long coveredSequence, long startedNanos) {
    if (failure != null) {
      LOG.warn("no snapshot: {}", failure.getMessage());
      return;
    }
    earliestSnapshotNanos = System.nanoTime();
    LOG.info(
        "snapshot of {} names up to record {} in {} ms",
        table.size(),
        coveredSequence,
        (System.nanoTime() - startedNanos) / 1_000_000);
  }

  /** Runs a task once every change made so far is durable in the log. */
  private void runWhenAllDurable(Runnable task) {
    boolean hasPending = groupCommit.pendingBytes() > 0;
    long lastGroupNumber =
        hasPending ? groupCommit.openGroupNumber() : groupCommit.openGroupNumber() - 1;
    runWhenDurable(lastGroupNumber, task);
  }

  private void runWhenDurable(long lastGroupNumber, Runnable task) {
    if (appendedGroup >= lastGroupNumber) {
      logThread.syncThen(task);
    } else {
      // Either the task runs or the event loop has ended; nothing waits for the result.
      var unused =
          eventLoop.schedule(
              () -> runWhenDurable(lastGroupNumber, task),
              DURABILITY_POLL_MILLIS,
              TimeUnit.MILLISECONDS);
    }
  }

  @Override
  public void onStalled(String reason) {
    if (state != LogState.STALLED) {
      LOG.error("the log cannot be written: {}; changes are refused until it can", reason);
    }
    state = state.transitionTo(LogState.STALLED);
    groupCommit.onStalled(reason);
  }

  @Override
  public void onSegmentAbandoned(LogWork work, long sequence, String reason) {
    LOG.error(
        "a sync of the log failed: {}; its file is given up, changes are refused until a new one is begun",
        reason);
    commitScheduler.ensureGroupOpen();
    groupCommit.onStalled(reason);
    snapshotTask.abandon();
    startNewLog(work, sequence);
  }

  /**
   * Writes the whole state in memory to a snapshot and starts a new segment after it. Retries until
   * both succeed.
   *
   * @param work the work whose sync failed, and which the snapshot makes durable; null at startup
   */
  private void startNewLog(LogWork work, long sequence) {
    if (isStopping) {
      return;
    }
    snapshotTask.start(
        sequence,
        Runnable::run,
        snapshotFailure -> {
          if (snapshotFailure != null) {
            scheduleNewLogRetry(work, sequence, snapshotFailure);
            return;
          }
          logThread.startNewSegment(
              sequence,
              segmentFailure -> {
                if (segmentFailure != null) {
                  scheduleNewLogRetry(work, sequence, segmentFailure);
                } else {
                  onNewLogStarted(work, sequence);
                }
              });
        });
  }

  private void onNewLogStarted(LogWork work, long sequence) {
    state = state.transitionTo(LogState.WRITABLE);
    groupCommit.onResumed();
    firstAttempt.complete(null);
    if (work != null) {
      LOG.info("a new segment is begun after record {}", sequence);
      appendedGroup = work.groupNumber();
      commitScheduler.releaseReplies(work.groupNumber());
    }
    commitScheduler.commitNow();
  }

  private void scheduleNewLogRetry(LogWork work, long sequence, IOException failure) {
    if (state != LogState.STALLED) {
      LOG.error(
          "new segment cannot be started, changes are refused until it can: reason={}",
          failure.getMessage());
    }
    state = state.transitionTo(LogState.STALLED);
    groupCommit.onStalled(String.valueOf(failure.getMessage()));
    firstAttempt.complete(null);
    // Either the task runs or the event loop has ended; nothing waits for the result.
    var unused =
        eventLoop.schedule(
            () -> startNewLog(work, sequence), NEW_LOG_RETRY_MILLIS, TimeUnit.MILLISECONDS);
  }
}
