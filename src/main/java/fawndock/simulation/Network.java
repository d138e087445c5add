package fawndock.simulation;

import java.util.HashSet;
import java.util.Set;
import java.util.SplittableRandom;

/** Delays, losses and cuts between the parts, by their names. */
final class Network {
  private final Agenda agenda;
  private final Deployment.Network figures;
  private final SplittableRandom random;

  /** Ways that are cut, as FROM>TO. */
  final Set<String> cut = new HashSet<>();

  /** By which ways take longer. */
  double slow = 1;

  Network(Agenda agenda, Deployment.Network figures, SplittableRandom random) {
    this.agenda = agenda;
    this.figures = figures;
    this.random = random;
  }

  private long way() {
    return (long)
        (slow * (figures.leastMicros() - figures.moreMicros() * Math.log(1 - random.nextDouble())));
  }

  /**
   * Something that arrives, as a request and its answer do over a connection that repeats what is
   * lost.
   */
  void send(Runnable arrives) {
    agenda.after(way(), arrives);
  }

  /** Something that may be lost on its way, or cut off. */
  void sendLossy(String from, String to, Runnable arrives) {
    boolean lost =
        random.nextDouble() < figures.loss()
            || !cut.isEmpty()
                && (cut.contains(from + ">" + to)
                    || cut.contains(from + ">*")
                    || cut.contains("*>" + to));
    long way = way();
    if (!lost) {
      agenda.after(way, arrives);
    }
  }
}
