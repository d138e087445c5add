package fawndock.simulation;

import java.util.HashSet;
import java.util.Set;
import java.util.SplittableRandom;

/** Delays, losses and cuts between the parts, by their names. */
final class SimulatedNetwork {
  private final EventQueue events;
  private final Deployment.NetworkModel model;
  private final SplittableRandom random;

  /** Ways that are cut, as FROM>TO. */
  final Set<String> cutPaths = new HashSet<>();

  /** By which ways take longer. */
  double delayFactor = 1;

  SimulatedNetwork(EventQueue agenda, Deployment.NetworkModel figures, SplittableRandom random) {
    this.events = agenda;
    this.model = figures;
    this.random = random;
  }

  private long drawDelayMicros() {
    return (long)
        (delayFactor
            * (model.minDelayMicros()
                - model.meanExtraDelayMicros() * Math.log(1 - random.nextDouble())));
  }

  /**
   * Something that arrives, as a request and its answer do over a connection that repeats what is
   * lost.
   */
  void send(Runnable arrives) {
    events.scheduleAfter(drawDelayMicros(), arrives);
  }

  /** Something that may be lost on its way, or cut off. */
  void sendLossy(String from, String to, Runnable arrives) {
    boolean lost =
        random.nextDouble() < model.lossRatio()
            || !cutPaths.isEmpty()
                && (cutPaths.contains(from + ">" + to)
                    || cutPaths.contains(from + ">*")
                    || cutPaths.contains("*>" + to));
    long way = drawDelayMicros();
    if (!lost) {
      events.scheduleAfter(way, arrives);
    }
  }
}
