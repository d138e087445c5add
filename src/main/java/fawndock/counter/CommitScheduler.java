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
  private final GroupCommit commit;
  private final WriteAheadLogThread log;
  private final ServerClock clock;
  private final Executor loop;
  private final Set<ClientConnection> waitingConnections = new LinkedHashSet<>();
  private boolean isCommitScheduled;
  private long durableGroup;

  CommitScheduler(GroupCommit commit, WriteAheadLogThread log, ServerClock clock, Executor loop) {
    this.commit = commit;
    this.log = log;
    this.clock = clock;
    this.loop = loop;
  }

  /** Has the open group committed in a later turn of the loop, with what else comes in this one. */
  void commitSoon() {
    if (!isCommitScheduled) {
      isCommitScheduled = true;
      loop.execute(
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
    LogWork work = commit.nextWork(nowMillis);
    if (work != null) {
      log.perform(work);
      return;
    }
    LogWork offer = commit.offerOpenGroup(nowMillis);
    if (offer != null) {
      log.offer(offer);
    }
  }

  /** Withdraws the group that was offered, or begins another when that one was taken. */
  void ensureGroupOpen() {
    if (commit.hasOffer()) {
      if (log.withdraw()) {
        commit.onOfferWithdrawn();
      } else {
        commit.onOfferTaken();
      }
    }
  }

  /** A connection has a reply that waits for a group. */
  void addWaiting(ClientConnection connection) {
    waitingConnections.add(connection);
  }

  void removeWaiting(ClientConnection connection) {
    waitingConnections.remove(connection);
  }

  /** All groups up to this one are durable: replies that waited for them go out. */
  void releaseUpTo(long group) {
    durableGroup = Math.max(durableGroup, group);
    for (ClientConnection connection : Set.copyOf(waitingConnections)) {
      if (!connection.releaseUpTo(durableGroup)) {
        waitingConnections.remove(connection);
      }
    }
  }

  /** The last group that is durable. */
  long durableGroup() {
    return durableGroup;
  }
}
