package fawndock.simulation;

import java.util.HashSet;
import java.util.Set;
import java.util.SplittableRandom;

/** Delays, losses and partitions between the simulated processes, by their names. */
final class SimulatedNetwork {
  private final EventQueue events;
  private final Deployment.NetworkModel model;
  private final SplittableRandom random;

  /** Paths that are cut, as FROM>TO; a star stands for any process. */
  final Set<String> cutPaths = new HashSet<>();

  /** Multiplies each delay. */
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

  /** Delivers a message after a delay, as a connection does that retransmits what is lost. */
  void send(Runnable onArrival) {
    events.scheduleAfter(drawDelayMicros(), onArrival);
  }

  private boolean isCut(String from, String to) {
    return cutPaths.contains(from + ">" + to)
        || cutPaths.contains(from + ">*")
        || cutPaths.contains("*>" + to);
  }

  /** Delivers a message after a delay, unless it is lost or its path is cut. */
  void sendLossy(String from, String to, Runnable onArrival) {
    boolean lost =
        random.nextDouble() < model.lossRatio() || (!cutPaths.isEmpty() && isCut(from, to));
    long delayMicros =
        drawDelayMicros(); // Drawn for lost messages too: the order of draws must not depend on
    // losses.
    if (!lost) {
      events.scheduleAfter(delayMicros, onArrival);
    }
  }
}
