package fawndock.simulation;

import fawndock.settings.LineArguments;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.stream.IntStream;

/**
 * What a {@code trouble} line says: a kind, when, and on what.
 *
 * @param gatekeepers how many it names; 0 for none
 * @param part of the counter; below 0 for all
 */
record TroubleLine(
    DeploymentFile.Mark mark,
    int gatekeepers,
    int part,
    int zone,
    String demand,
    Consumer<Emulation> made) {
  private static final double SECOND = 1e6;
  private static final long DAY = 86_400_000_000L;

  /** What a line may name beside its kind and times. */
  private record Named(
      double from,
      double until,
      List<String> workers,
      int gatekeepers,
      int part,
      int zone,
      double times,
      double share,
      long by,
      int many,
      boolean empty,
      String demand) {}

  /** Reads a line; notes what is wrong with it. */
  static TroubleLine read(LineArguments a) {
    double from = a.micros("from", 0, DAY, 0) / SECOND;
    double until = a.micros("until", 0, DAY, (long) (from * SECOND) + 1) / SECOND;
    int worker = a.integer("worker", 0, 9_999, 0);
    int count = a.integer("count", 1, 10_000, 1);
    int some = a.integer("gatekeepers", 0, 10_000, 0);
    int part = a.integer("part", 0, 999, -1);
    int zone = a.integer("zone", 0, 999, 0);
    double times = a.number("times", 1, 1_000, 10);
    double share = a.number("share", 0, 1, 0.5);
    long by = a.micros("by", 0, DAY, 1_000_000) * (a.flag("behind", false) ? -1 : 1);
    int many = a.integer("many", 1, 10_000, 10);
    boolean empty = a.flag("empty", false);
    String demand = a.word("demand", "");
    if (a.isValid() && until <= from) {
      a.addError("trouble " + a.positional(0) + " ends before it begins", "until after from");
    }
    List<String> workers = IntStream.range(worker, worker + count).mapToObj(i -> "w" + i).toList();
    Consumer<Emulation> made =
        made(
            a.positional(0),
            new Named(
                from, until, workers, some, part, zone, times, share, by, many, empty, demand));
    if (made == null) {
      a.addError("trouble '" + a.positional(0) + "'", "one of " + String.join(" ", KINDS));
    }
    return new TroubleLine(
        new DeploymentFile.Mark(a.positional(0), from, until, worker, count, times, share),
        some,
        part,
        zone,
        demand,
        made);
  }

  private static final List<String> KINDS =
      List.of(
          "counter-silent",
          "counter-dies",
          "counter-loses",
          "counter-slow",
          "counter-turns-away",
          "counter-split",
          "worker-slow",
          "worker-silent",
          "worker-loses-answers",
          "worker-errs",
          "worker-leaks",
          "worker-dies",
          "worker-drains",
          "deploy",
          "zone-dies",
          "network-slow",
          "roster-mute",
          "clock-skew",
          "gatekeeper-dies",
          "burst",
          "give-up",
          "retry-storm",
          "poison");

  private static Consumer<Emulation> made(String kind, Named n) {
    double from = n.from;
    double to = n.until;
    return switch (kind) {
      case "counter-silent" -> in -> Troubles.counterSilent(in, from, to);
      case "counter-dies" -> in -> Troubles.counterDies(in, from, to, n.empty);
      case "counter-loses" -> in -> Troubles.counterLoses(in, from);
      case "counter-slow" -> in -> Troubles.counterSlow(in, from, to, n.times);
      case "counter-turns-away" -> in -> Troubles.counterTurnsAway(in, from, to, n.share);
      case "counter-split" ->
          in -> Troubles.counterSplit(in, from, to, Math.max(1, n.gatekeepers), n.part);
      case "worker-slow" -> each(n, (in, w) -> Troubles.slow(in, from, to, w, n.times));
      case "worker-silent" -> each(n, (in, w) -> Troubles.silent(in, from, to, w));
      case "worker-loses-answers" ->
          each(n, (in, w) -> Troubles.losesAnswers(in, from, to, w, n.share));
      case "worker-errs" -> each(n, (in, w) -> Troubles.errs(in, from, to, w, n.share));
      case "worker-leaks" -> each(n, (in, w) -> Troubles.leaks(in, from, to, w, n.many));
      case "worker-dies" -> each(n, (in, w) -> Troubles.dies(in, from, to, w));
      case "worker-drains" -> each(n, (in, w) -> Troubles.drains(in, from, to, w));
      case "deploy" -> in -> Troubles.deploy(in, from, to, n.many);
      case "zone-dies" -> in -> Troubles.zoneDies(in, from, to, n.zone);
      case "network-slow" -> in -> Troubles.networkSlow(in, from, to, n.times);
      case "roster-mute" -> in -> Troubles.rosterMute(in, from, to);
      case "clock-skew" -> in -> Troubles.clockSkew(in, from, to, Math.max(1, n.gatekeepers), n.by);
      case "gatekeeper-dies" ->
          in -> Troubles.gatekeepersDie(in, from, to, Math.max(1, n.gatekeepers));
      case "burst" -> in -> Troubles.burst(in, from, to, n.demand, n.times);
      case "give-up" -> in -> Troubles.giveUp(in, from, to, n.share);
      case "retry-storm" -> in -> Troubles.retryStorm(in, from, to, n.many);
      case "poison" -> in -> Troubles.poison(in, from, to, n.share);
      default -> null;
    };
  }

  private static Consumer<Emulation> each(
      Named n, java.util.function.BiConsumer<Emulation, String> one) {
    List<String> workers = new ArrayList<>(n.workers);
    return in -> workers.forEach(w -> one.accept(in, w));
  }
}
