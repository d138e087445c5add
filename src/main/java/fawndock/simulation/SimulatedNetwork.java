package fawndock.simulation;

import java.util.HashSet;
import java.util.Set;
import java.util.SplittableRandom;

/**
 * The simulated network: message delays, message losses and network partitions between processes,
 * which are identified by their names. Single-threaded.
 */
final class SimulatedNetwork {
  private final EventQueue events;
  private final Deployment.NetworkModel model;
  private final SplittableRandom random;

  /** Partitioned paths in the form FROM>TO, where * stands for any process. */
  final Set<String> cutPaths = new HashSet<>();

  /** Multiplies each message delay; set by faults. */
  double delayFactor = 1;

  SimulatedNetwork(EventQueue events, Deployment.NetworkModel model, SplittableRandom random) {
    this.events = events;
    this.model = model;
    this.random = random;
  }

  private long drawDelayMicros() {
    return (long)
        (delayFactor
            * (model.minDelayMicros()
                - model.meanExtraDelayMicros() * Math.log(1 - random.nextDouble())));
  }

  /** Delivers a message after a delay; it is never lost, as on a connection that retransmits. */
  void send(Runnable onArrival) {
    events.scheduleAfter(drawDelayMicros(), onArrival);
  }

  private boolean isPartitioned(String from, String to) {
    return cutPaths.contains(from + ">" + to)
        || cutPaths.contains(from + ">*")
        || cutPaths.contains("*>" + to);
  }

  /** Delivers a message after a delay unless it is lost or its path is partitioned. */
  void sendLossy(String from, String to, Runnable onArrival) {
    boolean isLost =
        random.nextDouble() < model.lossRatio() || (!cutPaths.isEmpty() && isPartitioned(from, to));
    long delayMicros =
        drawDelayMicros(); // Lost messages draw a delay too, so that losses do not shift the draws.
    if (!isLost) {
      events.scheduleAfter(delayMicros, onArrival);
    }
  }
}
