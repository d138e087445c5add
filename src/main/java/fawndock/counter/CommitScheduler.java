package fawndock.counter;

import fawndock.counter.storage.GroupCommit;
import fawndock.counter.storage.GroupCommit.LogWork;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.concurrent.Executor;

/**
 * Hands groups of changes to the log's thread, and releases the replies that wait for them. Used on
 * the event loop.
 *
 * <p>Invariant: changes are only noted in a group that the log's thread cannot take; {@link
 * #ensureGroupOpen} is called before.
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

  /** Has the open group committed in a later turn of the loop, with what else comes in this one. */
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

  /** Gives the log's thread what is to be written, or offers it for when it is done. */
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

  /** Withdraws the group that was offered, or begins another when that one was taken. */
  void ensureGroupOpen() {
    if (groupCommit.hasOffer()) {
      if (logThread.withdraw()) {
        groupCommit.onOfferWithdrawn();
      } else {
        groupCommit.onOfferTaken();
      }
    }
  }

  /** A connection has a reply that waits for a group. */
  void addWaitingConnection(ClientConnection connection) {
    waitingConnections.add(connection);
  }

  void removeWaitingConnection(ClientConnection connection) {
    waitingConnections.remove(connection);
  }

  /** All groups up to this one are durable: replies that waited for them go out. */
  void releaseReplies(long groupNumber) {
    durableGroup = Math.max(durableGroup, groupNumber);
    for (ClientConnection connection : Set.copyOf(waitingConnections)) {
      if (!connection.releaseReplies(durableGroup)) {
        waitingConnections.remove(connection);
      }
    }
  }

  /** The last group that is durable. */
  long durableGroup() {
    return durableGroup;
  }
}
