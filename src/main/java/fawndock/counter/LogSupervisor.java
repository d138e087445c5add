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
 * What follows from the log's writes: replies go out, snapshots are taken, and after a failed sync
 * a new log is begun. Used on the event loop.
 *
 * <p>Invariant: a segment whose sync failed is never written again. All that is in memory goes into
 * a snapshot, and a new segment after it, before changes are accepted again.
 */
final class LogSupervisor implements WriteAheadLogThread.Listener {
  private static final Logger LOG = LoggerFactory.getLogger(LogSupervisor.class);
  private static final long NEW_LOG_RETRY_MILLIS = 1_000;
  private static final long DURABILITY_POLL_MILLIS = 2;

  /** Between the begin of a snapshot that failed and the next. */
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
   * Begins a log after what was recovered; tried until it can be.
   *
   * @return completes when the log was begun, or could not be the first time
   */
  CompletableFuture<Void> start(long recoveredSequence) {
    eventLoop.execute(() -> startNewLog(null, recoveredSequence));
    return firstAttempt;
  }

  /** No snapshot and no new log are begun any more. */
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

  /** Not before the log outgrows the last snapshot: writing them would cost more than the log. */
  private boolean isSnapshotDue(long appendedBytes) {
    return appendedBytes >= Math.max(snapshotAfterBytes, snapshotTask.lastSizeBytes())
        && !snapshotTask.isActive()
        && System.nanoTime() - earliestSnapshotNanos >= 0
        && !isStopping;
  }

  private void takeSnapshot() {
    // Not again at once when it fails, such as for want of space.
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

  /** Goes on once every change made so far is durable in the log. */
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
      // The task runs or the loop has ended: nothing waits for it.
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
   * All that is in memory into a snapshot, and a new segment after it; tried until it can be done.
   *
   * @param work whose sync failed, and which the snapshot makes durable; null at the start
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
          "no new segment could be begun: {}; changes are refused until it can",
          failure.getMessage());
    }
    state = state.transitionTo(LogState.STALLED);
    groupCommit.onStalled(String.valueOf(failure.getMessage()));
    firstAttempt.complete(null);
    // The task runs or the loop has ended: nothing waits for it.
    var unused =
        eventLoop.schedule(
            () -> startNewLog(work, sequence), NEW_LOG_RETRY_MILLIS, TimeUnit.MILLISECONDS);
  }
}
