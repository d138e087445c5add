package fawndock.platform;

import fawndock.platformconfig.Json;
import fawndock.platformconfig.MalformedMessageException;
import fawndock.runtime.Timers;
import fawndock.settings.Address;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Follows the catalog at one address: the whole list, then the changes after it, for as long as it
 * lives. A watch on which nothing comes, not even an empty line, is suspected: another is opened
 * beside it, from the version last seen, and it is dropped only when the other one speaks. Guards
 * against hearing nothing between two tries: what an agent that was silent tells at its return, it
 * tells to the calls that wait. One context.
 */
final class EndpointWatch implements DiscoveryCall.Listener {
  private static final Logger LOG = LoggerFactory.getLogger(EndpointWatch.class);

  /** Empty lines come every 2 s; one missing is a suspected watch. */
  private static final long SILENT_MICROS = 2_600_000;

  /** The whole list comes at once. */
  private static final long ANSWER_MICROS = 1_500_000;

  /**
   * Between calls that end without a word; what changes meanwhile is heard late, so it stays short.
   */
  private static final long FIRST_PAUSE = 10_000;

  private static final long LONGEST_PAUSE = 200_000;

  /** Calls that wait at once. */
  private static final int MOST_CALLS = 3;

  private final TcpTransport sockets;
  private final Timers alarms;
  private final Address address;
  private final SplittableRandom random;
  private final Consumer<EndpointList> told;

  /** Calls that are out, the newest last. */
  private final ArrayDeque<DiscoveryCall> calls = new ArrayDeque<>();

  private Timers.Timer next;
  private long index = -1;
  private long pause = FIRST_PAUSE;
  private boolean closed;

  /**
   * Made for one address; it asks nothing yet.
   *
   * @param random spreads the calls of a fleet that lost its catalog at once
   */
  EndpointWatch(
      TcpTransport sockets,
      Address address,
      Timers alarms,
      SplittableRandom random,
      Consumer<EndpointList> told) {
    this.sockets = sockets;
    this.alarms = alarms;
    this.address = address;
    this.random = random;
    this.told = told;
  }

  /** Asks for the whole list, and then for what changes. Told again, begins anew. */
  void start() {
    index = -1;
    call();
  }

  private void call() {
    if (closed) {
      return;
    }
    alarms.cancel(next);
    next = null;
    while (calls.size() >= MOST_CALLS) {
      drop(calls.peek());
    }
    DiscoveryCall call = new DiscoveryCall(sockets, address, index, this);
    calls.add(call);
    listen(call);
  }

  private void listen(DiscoveryCall call) {
    alarms.cancel(call.idleTimer);
    call.idleTimer =
        alarms.schedule(
            call.isSnapshotCall ? ANSWER_MICROS : SILENT_MICROS,
            () -> {
              if (!call.isSuspected) {
                LOG.info("catalog {}: silent, asking again beside it", address);
                call.isSuspected = true;
                call();
              }
            });
  }

  private void drop(DiscoveryCall call) {
    alarms.cancel(call.idleTimer);
    calls.remove(call);
    call.close();
  }

  @Override
  public void onActivity(DiscoveryCall call) {
    call.isSuspected = false;
    // Those before it are not needed any more; a later one that was opened for its silence may
    // stay.
    while (calls.peek() != call && calls.contains(call)) {
      drop(calls.peek());
    }
    listen(call);
  }

  @Override
  public void onEndpointList(DiscoveryCall call, String text) {
    EndpointList list;
    try {
      list = EndpointList.of(Json.parse(text));
    } catch (IOException | MalformedMessageException e) {
      call.close();
      onEnded(call, e.getMessage(), true);
      return;
    }
    if (list.isSnapshot() && list.endpoints().isEmpty()) {
      LOG.warn("catalog {}: an empty list, the last one stays", address);
    } else if (list.version() >= index || list.isSnapshot() && calls.peekLast() == call) {
      index = Math.max(0, list.version());
      pause = FIRST_PAUSE;
      told.accept(list);
    } else {
      LOG.info(
          "catalog {}: a list of version {} after {} is not taken", address, list.version(), index);
    }
    if (call.isSnapshotCall && calls.contains(call)) {
      drop(call);
      if (index >= 0) {
        call();
      } else {
        again();
      }
    }
  }

  @Override
  public void onEnded(DiscoveryCall call, String why, boolean unreadable) {
    alarms.cancel(call.idleTimer);
    calls.remove(call);
    if (unreadable) {
      LOG.warn("catalog {}: a list that cannot be read: {}", address, why);
      index = -1;
    }
    if (unreadable || calls.stream().allMatch(c -> c.isSuspected)) {
      LOG.info("catalog {}: {}, asking again", address, why);
      again();
    }
  }

  private void again() {
    if (closed || next != null) {
      return;
    }
    next = alarms.schedule(pause / 2 + random.nextLong(pause), this::call);
    pause = Math.min(LONGEST_PAUSE, 2 * pause);
  }

  /** Calls that are out. */
  int calls() {
    return calls.size();
  }

  void close() {
    closed = true;
    alarms.cancel(next);
    while (!calls.isEmpty()) {
      drop(calls.peek());
    }
  }
}
