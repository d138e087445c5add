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
 * Watches endpoint discovery at one address: fetches a complete list, then receives the changes
 * after it. When a call receives nothing for too long, it is suspected and another is opened in
 * parallel from the last version; the suspected call is closed only once the new one is alive, so
 * that a call is open at all times and a change that discovery reports when it recovers is not
 * missed. Confined to one event loop.
 */
final class EndpointWatch implements DiscoveryCall.Listener, AutoCloseable {
  private static final Logger LOG = LoggerFactory.getLogger(EndpointWatch.class);

  /** Discovery sends an empty line every 2 s; a watch call that misses one is suspected. */
  private static final long WATCH_IDLE_TIMEOUT_MICROS = 2_600_000;

  /** Shorter than for a watch, because discovery sends a complete list immediately. */
  private static final long SNAPSHOT_TIMEOUT_MICROS = 1_500_000;

  /**
   * Backoff between failed calls. It is short because changes during the backoff are received late.
   */
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
   * @param random source of the retry jitter, which keeps the instances of a fleet from retrying
   *     simultaneously
   * @param listener called with each list that is not outdated
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

  /**
   * Fetches a complete list and watches for changes after it. Another call starts again with a
   * complete list.
   */
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
      LOG.info("endpoint watch idle, opening another: address={}", address);
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
    // Older calls are no longer needed; a newer one, opened in parallel to this one, stays open.
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
      LOG.warn("empty endpoint list ignored: address={}", address);
    } else if (list.version() >= version || (list.isSnapshot() && isNewestCall)) {
      version = Math.max(0, list.version());
      backoffMicros = MIN_BACKOFF_MICROS;
      listener.accept(list);
    } else {
      LOG.info(
          "outdated endpoint list ignored: address={} version={} current_version={}",
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
      LOG.warn("endpoint list malformed: address={} reason={}", address, reason);
      version = NO_VERSION;
    }
    if (isMalformed || calls.stream().allMatch(c -> c.isSuspected)) {
      LOG.info("endpoint watch ended, reopening: address={} reason={}", address, reason);
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

  /** Closes all calls. The listener is not called afterwards. Idempotent. */
  @Override
  public void close() {
    isClosed = true;
    timers.cancel(retryTimer);
    while (!calls.isEmpty()) {
      closeCall(calls.peek());
    }
  }
}
