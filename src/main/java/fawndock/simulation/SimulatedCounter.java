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
 * One part of the counter: the real table of counts behind a queue that takes so many calls a
 * second.
 */
final class SimulatedCounter {
  /** Told how a call ended, and the total. */
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

  /** Times the time of a call, and the share that is turned away. */
  double serviceTimeFactor = 1;

  double rejectRatio;

  SimulatedCounter(
      String name,
      EventQueue agenda,
      Deployment.CounterModel figures,
      SplittableRandom random,
      int seconds) {
    this.name = name;
    this.events = agenda;
    this.random = random;
    microsPerCall = 1e6 / figures.callsPerSecond();
    rejectRatio = figures.rejectRatio();
    maxQueueMicros = figures.maxQueueMicros();
    callsBySecond = new double[seconds];
    queueMillisBySecond = new double[seconds];
  }

  private static CounterOperations emptyTable() {
    return new CounterOperations(new CounterTable(1, 2), Long.MAX_VALUE);
  }

  /**
   * A call has arrived; told its end once it was its turn, or never when the counter is down or
   * crowded.
   */
  void add(String count, double amount, long keepMicros, CounterCallback ended) {
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
    if (maxQueueMicros > 0 && availableAtMicros - events.nowMicros() > maxQueueMicros
        || rejectRatio > 0 && random.nextDouble() < rejectRatio) {
      ended.onReply(CallResult.SHED, 0);
      return;
    }
    availableAtMicros =
        Math.max(events.nowMicros(), availableAtMicros)
            + (long) Math.ceil(microsPerCall * serviceTimeFactor);
    int mine = incarnation;
    events.scheduleAt(
        availableAtMicros,
        () -> {
          if (mine == incarnation) {
            ended.onReply(CallResult.OK, addToTable(count, amount, keepMicros));
          }
        });
  }

  private double addToTable(String count, double amount, long keepMicros) {
    try {
      changeRecord.clear();
      return Double.parseDouble(
          operations
              .add(
                  count.getBytes(StandardCharsets.UTF_8),
                  DecimalAmount.parse(Double.toString(amount).getBytes(StandardCharsets.US_ASCII)),
                  Math.max(1, keepMicros / 1_000),
                  events.nowMicros() / 1_000,
                  changeRecord)
              .toString());
    } catch (CommandException e) {
      throw new IllegalStateException("count of " + count, e);
    }
  }

  /** Dies, or comes back with what it had. */
  void setRunning(boolean is) {
    isRunning = is;
    incarnation++;
    availableAtMicros = events.nowMicros();
  }

  /** Loses all counts. */
  void clear() {
    operations = emptyTable();
  }

  /** Calls that arrived, each second. */
  double[] callsBySecond() {
    return callsBySecond;
  }

  /** The longest time that a call would have waited for its turn, in milliseconds, each second. */
  double[] queueMillisBySecond() {
    return queueMillisBySecond;
  }
}
