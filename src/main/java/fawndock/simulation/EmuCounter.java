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
final class EmuCounter {
  /** Told how a call ended, and the total. */
  interface Ended {
    void told(CallResult result, double total);
  }

  private static final long LONGEST_QUEUE = 1_000_000;
  final String name;
  private final Agenda agenda;
  private final double microsPerCall;
  private final long queueMicros;
  private final SplittableRandom random;
  private final double[] callsBySecond;
  private final double[] queueBySecond;
  private CounterOperations counts = empty();
  private final ChangeRecord changes = new ChangeRecord(1 << 12);
  private long freeAt;
  private int life;
  private boolean up = true;

  /** Times the time of a call, and the share that is turned away. */
  double slow = 1;

  double turnsAway;

  EmuCounter(
      String name,
      Agenda agenda,
      Deployment.Counter figures,
      SplittableRandom random,
      int seconds) {
    this.name = name;
    this.agenda = agenda;
    this.random = random;
    microsPerCall = 1e6 / figures.perSecond();
    turnsAway = figures.turnsAway();
    queueMicros = figures.queueMicros();
    callsBySecond = new double[seconds];
    queueBySecond = new double[seconds];
  }

  private static CounterOperations empty() {
    return new CounterOperations(new CounterTable(1, 2), Long.MAX_VALUE);
  }

  /**
   * A call has arrived; told its end once it was its turn, or never when the counter is down or
   * crowded.
   */
  void add(String count, double amount, long keepMicros, Ended ended) {
    if (!up) {
      return;
    }
    int second = (int) (agenda.now() / 1_000_000);
    if (second < callsBySecond.length) {
      callsBySecond[second]++;
      queueBySecond[second] = Math.max(queueBySecond[second], (freeAt - agenda.now()) / 1e3);
    }
    if (queueMicros == 0 && freeAt - agenda.now() > LONGEST_QUEUE) {
      return;
    }
    if (queueMicros > 0 && freeAt - agenda.now() > queueMicros
        || turnsAway > 0 && random.nextDouble() < turnsAway) {
      ended.told(CallResult.SHED, 0);
      return;
    }
    freeAt = Math.max(agenda.now(), freeAt) + (long) Math.ceil(microsPerCall * slow);
    int mine = life;
    agenda.at(
        freeAt,
        () -> {
          if (mine == life) {
            ended.told(CallResult.OK, total(count, amount, keepMicros));
          }
        });
  }

  private double total(String count, double amount, long keepMicros) {
    try {
      changes.clear();
      return Double.parseDouble(
          counts
              .add(
                  count.getBytes(StandardCharsets.UTF_8),
                  DecimalAmount.parse(Double.toString(amount).getBytes(StandardCharsets.US_ASCII)),
                  Math.max(1, keepMicros / 1_000),
                  agenda.now() / 1_000,
                  changes)
              .toString());
    } catch (CommandException e) {
      throw new IllegalStateException("count of " + count, e);
    }
  }

  /** Dies, or comes back with what it had. */
  void up(boolean is) {
    up = is;
    life++;
    freeAt = agenda.now();
  }

  /** Loses all counts. */
  void lose() {
    counts = empty();
  }

  /** Calls that arrived, each second. */
  double[] calls() {
    return callsBySecond;
  }

  /** The longest time that a call would have waited for its turn, in milliseconds, each second. */
  double[] queue() {
    return queueBySecond;
  }
}
