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
 * Watches endpoint discovery at one address: a complete list, then the changes after it. A watch
 * without even an empty line for too long is suspected; another is opened beside it, from the last
 * version, and the suspected one is closed only once the new one is alive. So at every moment a
 * call waits there, and a change that discovery reports when it recovers is not missed. Confined to
 * one event loop.
 */
final class EndpointWatch implements DiscoveryCall.Listener, AutoCloseable {
  private static final Logger LOG = LoggerFactory.getLogger(EndpointWatch.class);

  /** Empty lines come every 2 s; a watch that misses one is suspected. */
  private static final long WATCH_IDLE_TIMEOUT_MICROS = 2_600_000;

  /** A complete list is sent at once. */
  private static final long SNAPSHOT_TIMEOUT_MICROS = 1_500_000;

  /** Backoff between failed calls. Short, as changes meanwhile arrive late. */
  private static final long MIN_BACKOFF_MICROS = 10_000;

  private static final long MAX_BACKOFF_MICROS = 200_000;
  private static final int MAX_CALLS = 3;
  private static final long NO_VERSION = -1;

  private final TcpTransport transport;
  private final Timers timers;
  private final Address address;
  private final SplittableRandom random;
  private final Consumer<EndpointList> listener;

  /** Open calls, the newest last. */
  private final ArrayDeque<DiscoveryCall> calls = new ArrayDeque<>();

  private Timers.Timer retryTimer;
  private long version = NO_VERSION;
  private long backoffMicros = MIN_BACKOFF_MICROS;
  private boolean isClosed;

  /**
   * Creates a watch that is not started.
   *
   * @param random jitters retries, so that a fleet does not retry all at once
   * @param listener receives each list that is not outdated
   */
  EndpointWatch(
      TcpTransport transport,
      Address address,
      Timers timers,
      SplittableRandom random,
      Consumer<EndpointList> listener) {
    this.transport = transport;
    this.timers = timers;
    this.address = address;
    this.random = random;
    this.listener = listener;
  }

  /** Fetches a complete list and watches for changes after it. Called again, starts over. */
  void start() {
    version = NO_VERSION;
    openCall();
  }

  private void openCall() {
    if (isClosed) {
      return;
    }
    timers.cancel(retryTimer);
    retryTimer = null;
    while (calls.size() >= MAX_CALLS) {
      closeCall(calls.peek());
    }
    DiscoveryCall call =
        version == NO_VERSION
            ? DiscoveryCall.fetchSnapshot(transport, address, this)
            : DiscoveryCall.watch(transport, address, version, this);
    calls.add(call);
    restartIdleTimer(call);
  }

  private void restartIdleTimer(DiscoveryCall call) {
    timers.cancel(call.idleTimer);
    long timeoutMicros = call.isSnapshotCall ? SNAPSHOT_TIMEOUT_MICROS : WATCH_IDLE_TIMEOUT_MICROS;
    call.idleTimer = timers.schedule(timeoutMicros, () -> onIdle(call));
  }

  private void onIdle(DiscoveryCall call) {
    if (!call.isSuspected) {
      LOG.info("watch idle, opening another, discovery={}", address);
      call.isSuspected = true;
      openCall();
    }
  }

  private void closeCall(DiscoveryCall call) {
    timers.cancel(call.idleTimer);
    calls.remove(call);
    call.close();
  }

  @Override
  public void onActivity(DiscoveryCall call) {
    call.isSuspected = false;
    // Older calls are not needed any more; a newer one, opened beside this one, may stay.
    while (calls.peek() != call && calls.contains(call)) {
      closeCall(calls.peek());
    }
    restartIdleTimer(call);
  }

  @Override
  public void onEndpointList(DiscoveryCall call, String json) {
    EndpointList list;
    try {
      list = EndpointListCodec.decode(Json.parse(json));
    } catch (IOException | MalformedMessageException e) {
      call.close();
      onEnded(call, e.getMessage(), true);
      return;
    }
    acceptIfCurrent(call, list);
    if (call.isSnapshotCall && calls.contains(call)) {
      closeCall(call);
      if (version == NO_VERSION) {
        scheduleRetry();
      } else {
        openCall();
      }
    }
  }

  private void acceptIfCurrent(DiscoveryCall call, EndpointList list) {
    boolean isNewestCall = calls.peekLast() == call;
    if (list.isSnapshot() && list.endpoints().isEmpty()) {
      LOG.warn("empty endpoint list ignored, discovery={}", address);
    } else if (list.version() >= version || (list.isSnapshot() && isNewestCall)) {
      version = Math.max(0, list.version());
      backoffMicros = MIN_BACKOFF_MICROS;
      listener.accept(list);
    } else {
      LOG.info(
          "outdated endpoint list ignored, discovery={}, version={}, current={}",
          address,
          list.version(),
          version);
    }
  }

  @Override
  public void onEnded(DiscoveryCall call, String reason, boolean isMalformed) {
    timers.cancel(call.idleTimer);
    calls.remove(call);
    if (isMalformed) {
      LOG.warn("endpoint list malformed, discovery={}, reason={}", address, reason);
      version = NO_VERSION;
    }
    if (isMalformed || calls.stream().allMatch(c -> c.isSuspected)) {
      LOG.info("watch ended, reopening, discovery={}, reason={}", address, reason);
      scheduleRetry();
    }
  }

  private void scheduleRetry() {
    if (isClosed || retryTimer != null) {
      return;
    }
    long delayMicros = backoffMicros / 2 + random.nextLong(backoffMicros);
    retryTimer = timers.schedule(delayMicros, this::openCall);
    backoffMicros = Math.min(MAX_BACKOFF_MICROS, 2 * backoffMicros);
  }

  /** Closes all calls; the listener is not called any more. Idempotent. */
  @Override
  public void close() {
    isClosed = true;
    timers.cancel(retryTimer);
    while (!calls.isEmpty()) {
      closeCall(calls.peek());
    }
  }
}
