package fawndock.platform;

import fawndock.policy.action.AddToCounter;
import fawndock.policy.event.CallResult;
import fawndock.policy.event.CounterReply;
import fawndock.runtime.CounterReplySequencer;
import fawndock.runtime.MicroClock;
import fawndock.runtime.Timers;
import fawndock.settings.Address;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Client of the platform's counter: pipelines {@code ADDGET} calls on a few connections, with all
 * calls for one counter on the same connection. Each call is reported exactly once, by its reply or
 * its timeout, and calls for one counter are reported in order. Confined to one event loop.
 */
final class CounterClient implements AutoCloseable {
  /**
   * Number of connections. It is small because each connection needs a file descriptor, and greater
   * than one because a malformed reply ends all calls pipelined behind it on its connection.
   */
  private static final int CONNECTION_COUNT = 4;

  /** Limit on the calls without a reply, which hold memory also after they have timed out. */
  static final int MAX_UNANSWERED_CALLS = 4_096;

  private static final long CHECK_INTERVAL_MICROS = CounterConnection.REPLY_TIMEOUT_MICROS / 4;
  private static final long MIN_BACKOFF_MICROS = 20_000;
  private static final long MAX_BACKOFF_MICROS = 500_000;

  /** Timeouts for opening a connection and for one call, in microseconds. */
  record Timeouts(long connectMicros, long callMicros) {}

  /** One of the connections. It is reopened on demand, with a backoff after failures to connect. */
  private final class ConnectionSlot implements CounterConnection.Listener {
    private CounterConnection connection;
    private long backoffMicros = MIN_BACKOFF_MICROS;
    private long reopenAtMicros;

    /** Returns the connection, opening one if necessary, or null during the backoff. */
    CounterConnection connection() {
      if (connection == null && clock.nowMicros() >= reopenAtMicros) {
        connection = new CounterConnection(transport, address, timeouts.connectMicros(), this);
        openConnections.add(connection);
      }
      return connection;
    }

    @Override
    public void onConnected() {
      backoffMicros = MIN_BACKOFF_MICROS;
    }

    @Override
    public void onCompleted(CounterCall call, CallResult result, double total) {
      complete(call, result, total);
    }

    @Override
    public void onClosed(CounterConnection closedConnection, boolean wasConnected) {
      openConnections.remove(closedConnection);
      if (connection == closedConnection) {
        connection = null;
        reopenAtMicros = wasConnected ? 0 : clock.nowMicros() + backoffMicros;
        backoffMicros =
            wasConnected ? MIN_BACKOFF_MICROS : Math.min(MAX_BACKOFF_MICROS, 2 * backoffMicros);
      }
    }

    @Override
    public long nowMicros() {
      return clock.nowMicros();
    }
  }

  private final TcpTransport transport;
  private final MicroClock clock;
  private final Timers timers;
  private final Timeouts timeouts;
  private final ActivitySummary activity;
  private final CounterReplySequencer sequencer;
  private List<ConnectionSlot> slots = List.of();

  /** All connections that are not closed, including those to former addresses. */
  private final Set<CounterConnection> openConnections = new HashSet<>();

  private Address address;
  private Timers.Timer checkTimer;

  /**
   * Creates a client that connects on the first call.
   *
   * @param address the counter's address, or null without a counter
   * @param listener receives the replies
   */
  CounterClient(
      TcpTransport transport,
      Address address,
      MicroClock clock,
      Timers timers,
      ActivitySummary activity,
      Timeouts timeouts,
      Consumer<CounterReply> listener) {
    this.transport = transport;
    this.clock = clock;
    this.timers = timers;
    this.activity = activity;
    this.timeouts = timeouts;
    sequencer = new CounterReplySequencer(listener);
    setAddress(address);
    checkTimer = timers.schedule(CHECK_INTERVAL_MICROS, this::checkConnections);
  }

  /**
   * Sets the address for subsequent calls; pending calls stay on their connections. Null, or the
   * current address, changes nothing.
   */
  void setAddress(Address newAddress) {
    if (newAddress == null || newAddress.equals(address)) {
      return;
    }
    address = newAddress;
    openConnections.forEach(CounterConnection::retire);
    List<ConnectionSlot> newSlots = new ArrayList<>();
    for (int i = 0; i < CONNECTION_COUNT; i++) {
      newSlots.add(new ConnectionSlot());
    }
    slots = newSlots;
  }

  /** Sends a call to the counter; the listener gets exactly one reply. */
  void add(AddToCounter action) {
    CounterCall call = new CounterCall(action, clock.nowMicros());
    sequencer.begin(call);
    CounterConnection connection = connectionFor(action.counterName());
    if (connection == null) {
      complete(call, CallResult.CONNECT_FAILED, 0);
      return;
    }
    call.timeoutTimer = timers.schedule(timeouts.callMicros(), () -> onTimeout(call));
    connection.send(call);
  }

  /** Returns the connection for a counter's calls, or null if none is available. */
  private CounterConnection connectionFor(String counterName) {
    if (address == null || unansweredCallCount() >= MAX_UNANSWERED_CALLS) {
      return null;
    }
    return slots.get(Math.floorMod(counterName.hashCode(), CONNECTION_COUNT)).connection();
  }

  /**
   * Returns the number of calls to the current address without a reply, including those that have
   * timed out.
   */
  int unansweredCallCount() {
    int count = 0;
    for (ConnectionSlot slot : slots) {
      count += slot.connection == null ? 0 : slot.connection.unansweredCallCount();
    }
    return count;
  }

  private void onTimeout(CounterCall call) {
    call.timeoutTimer = null;
    complete(call, call.isWriteComplete ? CallResult.TIMEOUT : CallResult.CONNECT_FAILED, 0);
  }

  private void complete(CounterCall call, CallResult result, double total) {
    if (call.isCompleted()) {
      return;
    }
    timers.cancel(call.timeoutTimer);
    long nowMicros = clock.nowMicros();
    activity.recordCounterCall(result, call.elapsedMicros(nowMicros));
    sequencer.complete(call, result, total, nowMicros);
  }

  private void checkConnections() {
    long nowMicros = clock.nowMicros();
    List.copyOf(openConnections).forEach(connection -> connection.abortIfUnusable(nowMicros));
    checkTimer = timers.schedule(CHECK_INTERVAL_MICROS, this::checkConnections);
  }

  /** Closes all connections. No reply is reported afterwards. Idempotent. */
  @Override
  public void close() {
    sequencer.close();
    timers.cancel(checkTimer);
    List.copyOf(openConnections).forEach(CounterConnection::abort);
  }
}
