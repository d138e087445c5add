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
  private final EventExecutor loop;
  private final GroupCommit commit;
  private final CommitScheduler scheduler;
  private final WriteAheadLogThread log;
  private final SnapshotTask snapshots;
  private final CounterTable table;
  private final CompletableFuture<Void> firstAttempt = new CompletableFuture<>();
  private long appendedGroup;
  private long nextSnapshotNanos = System.nanoTime();
  private LogState state = LogState.STARTING;
  private boolean isStopping;

  LogSupervisor(
      long snapshotAfterBytes,
      EventExecutor loop,
      GroupCommit commit,
      CommitScheduler scheduler,
      WriteAheadLogThread log,
      SnapshotTask snapshots,
      CounterTable table) {
    this.snapshotAfterBytes = snapshotAfterBytes;
    this.loop = loop;
    this.commit = commit;
    this.scheduler = scheduler;
    this.log = log;
    this.snapshots = snapshots;
    this.table = table;
  }

  /**
   * Begins a log after what was recovered; tried until it can be.
   *
   * @return completes when the log was begun, or could not be the first time
   */
  CompletableFuture<Void> start(long recoveredSequence) {
    loop.execute(() -> beginNewLog(null, recoveredSequence));
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
    commit.onWorkDone(work.groupNumber());
    appendedGroup = work.groupNumber();
    scheduler.releaseUpTo(work.groupNumber());
    scheduler.commitNow();
    if (isSnapshotDue(appendedBytes)) {
      takeSnapshot();
    }
  }

  /** Not before the log outgrows the last snapshot: writing them would cost more than the log. */
  private boolean isSnapshotDue(long appendedBytes) {
    return appendedBytes >= Math.max(snapshotAfterBytes, snapshots.lastSizeBytes())
        && !snapshots.isActive()
        && System.nanoTime() - nextSnapshotNanos >= 0
        && !isStopping;
  }

  private void takeSnapshot() {
    // Not again at once when it fails, such as for want of space.
    nextSnapshotNanos = System.nanoTime() + SNAPSHOT_BACKOFF_NANOS;
    log.roll(
        coveredSequence -> {
          if (coveredSequence < 0 || snapshots.isActive() || commit.rejection() != null) {
            return;
          }
          long startedNanos = System.nanoTime();
          snapshots.begin(
              coveredSequence,
              this::runWhenAllDurable,
              failure -> onSnapshotEnded(failure, coveredSequence, startedNanos));
        });
  }

  private void onSnapshotEnded(IOException failure, long coveredSequence, long startedNanos) {
    if (failure != null) {
      LOG.warn("no snapshot: {}", failure.getMessage());
      return;
    }
    nextSnapshotNanos = System.nanoTime();
    LOG.info(
        "snapshot of {} names up to record {} in {} ms",
        table.size(),
        coveredSequence,
        (System.nanoTime() - startedNanos) / 1_000_000);
  }

  /** Goes on once every change made so far is durable in the log. */
  private void runWhenAllDurable(Runnable next) {
    boolean hasPending = commit.pendingBytes() > 0;
    long lastGroup = hasPending ? commit.openGroupNumber() : commit.openGroupNumber() - 1;
    runWhenDurable(lastGroup, next);
  }

  private void runWhenDurable(long lastGroup, Runnable next) {
    if (appendedGroup >= lastGroup) {
      log.syncThen(next);
    } else {
      // The task runs or the loop has ended: nothing waits for it.
      var unused =
          loop.schedule(
              () -> runWhenDurable(lastGroup, next), DURABILITY_POLL_MILLIS, TimeUnit.MILLISECONDS);
    }
  }

  @Override
  public void onStalled(String reason) {
    if (state != LogState.STALLED) {
      LOG.error("the log cannot be written: {}; changes are refused until it can", reason);
    }
    state = state.transitionTo(LogState.STALLED);
    commit.onStalled(reason);
  }

  @Override
  public void onSegmentAbandoned(LogWork work, long sequence, String reason) {
    LOG.error(
        "a sync of the log failed: {}; its file is given up, changes are refused until a new one is begun",
        reason);
    scheduler.ensureGroupOpen();
    commit.onStalled(reason);
    snapshots.abandon();
    beginNewLog(work, sequence);
  }

  /**
   * All that is in memory into a snapshot, and a new segment after it; tried until it can be done.
   *
   * @param work whose sync failed, and which the snapshot makes durable; null at the start
   */
  private void beginNewLog(LogWork work, long sequence) {
    if (isStopping) {
      return;
    }
    snapshots.begin(
        sequence,
        Runnable::run,
        snapshotFailure -> {
          if (snapshotFailure != null) {
            retryNewLog(work, sequence, snapshotFailure);
            return;
          }
          log.startNewSegment(
              sequence,
              segmentFailure -> {
                if (segmentFailure != null) {
                  retryNewLog(work, sequence, segmentFailure);
                } else {
                  onNewLogBegun(work, sequence);
                }
              });
        });
  }

  private void onNewLogBegun(LogWork work, long sequence) {
    state = state.transitionTo(LogState.WRITABLE);
    commit.onResumed();
    firstAttempt.complete(null);
    if (work != null) {
      LOG.info("a new segment is begun after record {}", sequence);
      appendedGroup = work.groupNumber();
      scheduler.releaseUpTo(work.groupNumber());
    }
    scheduler.commitNow();
  }

  private void retryNewLog(LogWork work, long sequence, IOException failure) {
    if (state != LogState.STALLED) {
      LOG.error(
          "no new segment could be begun: {}; changes are refused until it can",
          failure.getMessage());
    }
    state = state.transitionTo(LogState.STALLED);
    commit.onStalled(String.valueOf(failure.getMessage()));
    firstAttempt.complete(null);
    // The task runs or the loop has ended: nothing waits for it.
    var unused =
        loop.schedule(
            () -> beginNewLog(work, sequence), NEW_LOG_RETRY_MILLIS, TimeUnit.MILLISECONDS);
  }
}
