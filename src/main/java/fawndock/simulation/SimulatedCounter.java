package fawndock.simulation;

import fawndock.counter.storage.ChangeRecord;
import fawndock.counter.storage.CommandException;
import fawndock.counter.storage.CounterOperations;
import fawndock.counter.storage.CounterTable;
import fawndock.counter.storage.DecimalAmount;
import fawndock.policy.event.CallResult;
import java.nio.charset.StandardCharsets;
import java.util.SplittableRandom;

/**
 * One partition of the simulated counter: the real counter table behind a queue with a fixed
 * service rate. Single-threaded.
 */
final class SimulatedCounter {
  /** Receives the reply to a call. */
  interface CounterCallback {
    void onReply(CallResult result, double total);
  }

  private static final long DEFAULT_MAX_QUEUE_MICROS = 1_000_000;
  final String name;
  private final EventQueue events;
  private final double microsPerCall;
  private final long maxQueueMicros;
  private final SplittableRandom random;
  private final double[] callsBySecond;
  private final double[] queueMillisBySecond;
  private CounterOperations operations = emptyTable();
  private final ChangeRecord changeRecord = new ChangeRecord(1 << 12);
  private long availableAtMicros;
  private int incarnation;
  private boolean isRunning = true;

  /** Multiplies the service time of a call; set by faults. */
  double serviceTimeFactor = 1;

  /** Share of the calls that are rejected; set by faults. */
  double rejectRatio;

  SimulatedCounter(
      String name,
      EventQueue events,
      Deployment.CounterModel model,
      SplittableRandom random,
      int seconds) {
    this.name = name;
    this.events = events;
    this.random = random;
    microsPerCall = 1e6 / model.callsPerSecond();
    rejectRatio = model.rejectRatio();
    maxQueueMicros = model.maxQueueMicros();
    callsBySecond = new double[seconds];
    queueMillisBySecond = new double[seconds];
  }

  private static CounterOperations emptyTable() {
    return new CounterOperations(new CounterTable(1, 2), Long.MAX_VALUE);
  }

  /**
   * Handles a call. The reply follows when the queue has reached the call; there is no reply when
   * the counter is down or when its queue is too long.
   */
  void add(String counterName, double amount, long timeToLiveMicros, CounterCallback callback) {
    if (!isRunning) {
      return;
    }
    int second = (int) (events.nowMicros() / 1_000_000);
    if (second < callsBySecond.length) {
      callsBySecond[second]++;
      queueMillisBySecond[second] =
          Math.max(queueMillisBySecond[second], (availableAtMicros - events.nowMicros()) / 1e3);
    }
    if (maxQueueMicros == 0 && availableAtMicros - events.nowMicros() > DEFAULT_MAX_QUEUE_MICROS) {
      return;
    }
    if ((maxQueueMicros > 0 && availableAtMicros - events.nowMicros() > maxQueueMicros)
        || (rejectRatio > 0 && random.nextDouble() < rejectRatio)) {
      callback.onReply(CallResult.SHED, 0);
      return;
    }
    availableAtMicros =
        Math.max(events.nowMicros(), availableAtMicros)
            + (long) Math.ceil(microsPerCall * serviceTimeFactor);
    int callIncarnation = incarnation;
    events.scheduleAt(
        availableAtMicros,
        () -> {
          if (callIncarnation == incarnation) {
            callback.onReply(CallResult.OK, addToTable(counterName, amount, timeToLiveMicros));
          }
        });
  }

  private double addToTable(String counterName, double amount, long timeToLiveMicros) {
    try {
      changeRecord.clear();
      return Double.parseDouble(
          operations
              .add(
                  counterName.getBytes(StandardCharsets.UTF_8),
                  DecimalAmount.parse(Double.toString(amount).getBytes(StandardCharsets.US_ASCII)),
                  Math.max(1, timeToLiveMicros / 1_000),
                  events.nowMicros() / 1_000,
                  changeRecord)
              .toString());
    } catch (CommandException e) {
      throw new IllegalStateException("cannot add a count to counter " + counterName, e);
    }
  }

  /** Stops the counter, or restarts it with its state. */
  void setRunning(boolean running) {
    isRunning = running;
    incarnation++;
    availableAtMicros = events.nowMicros();
  }

  /** Deletes all counts. */
  void clear() {
    operations = emptyTable();
  }

  /** Returns the number of calls that arrived, by second. */
  double[] callsBySecond() {
    return callsBySecond;
  }

  /** Returns the longest queueing time of arriving calls in milliseconds, by second. */
  double[] queueMillisBySecond() {
    return queueMillisBySecond;
  }
}
