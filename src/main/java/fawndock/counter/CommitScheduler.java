package fawndock.counter;

import fawndock.counter.storage.GroupCommit;
import fawndock.counter.storage.GroupCommit.LogWork;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.concurrent.Executor;

/**
 * Passes commit groups to the log thread, and releases the replies that wait for them. Confined to
 * the event loop.
 *
 * <p>Invariant: changes are only added to a group that the log thread cannot take. {@link
 * #ensureGroupOpen} must be called before each change.
 */
final class CommitScheduler {
  private final GroupCommit groupCommit;
  private final WriteAheadLogThread logThread;
  private final ServerClock clock;
  private final Executor eventLoop;
  private final Set<ClientConnection> waitingConnections = new LinkedHashSet<>();
  private boolean isCommitScheduled;
  private long durableGroup;

  CommitScheduler(
      GroupCommit groupCommit,
      WriteAheadLogThread logThread,
      ServerClock clock,
      Executor eventLoop) {
    this.groupCommit = groupCommit;
    this.logThread = logThread;
    this.clock = clock;
    this.eventLoop = eventLoop;
  }

  /**
   * Schedules a commit of the open group as a later event-loop task, so that further commands of
   * the current iteration join the group.
   */
  void scheduleCommit() {
    if (!isCommitScheduled) {
      isCommitScheduled = true;
      eventLoop.execute(
          () -> {
            isCommitScheduled = false;
            commitNow();
          });
    }
  }

  /**
   * Passes the next group to the log thread. While that thread is busy, offers the open group for
   * it to take next.
   */
  void commitNow() {
    ensureGroupOpen();
    long nowMillis = clock.nowMillis();
    LogWork work = groupCommit.nextWork(nowMillis);
    if (work != null) {
      logThread.submit(work);
      return;
    }
    LogWork offer = groupCommit.offerOpenGroup(nowMillis);
    if (offer != null) {
      logThread.offer(offer);
    }
  }

  /**
   * Ensures that the log thread cannot take the open group: withdraws the offered group, or opens a
   * new one if the log thread has taken it.
   */
  void ensureGroupOpen() {
    if (groupCommit.hasOffer()) {
      if (logThread.withdraw()) {
        groupCommit.onOfferWithdrawn();
      } else {
        groupCommit.onOfferTaken();
      }
    }
  }

  /** Registers a connection that has replies waiting for a group. */
  void addWaitingConnection(ClientConnection connection) {
    waitingConnections.add(connection);
  }

  void removeWaitingConnection(ClientConnection connection) {
    waitingConnections.remove(connection);
  }

  /** Sends the replies that wait for groups up to this one, which are durable now. */
  void releaseReplies(long groupNumber) {
    durableGroup = Math.max(durableGroup, groupNumber);
    for (ClientConnection connection : Set.copyOf(waitingConnections)) {
      if (!connection.releaseReplies(durableGroup)) {
        waitingConnections.remove(connection);
      }
    }
  }

  /** Returns the number of the last durable group. */
  long durableGroup() {
    return durableGroup;
  }
}
