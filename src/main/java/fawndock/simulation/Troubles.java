package fawndock.simulation;

import fawndock.policy.event.EndpointState;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/**
 * Troubles that can be put together at will; each begins at a second of a run and ends at another.
 * They are made before the run, and several of one kind on the same part end with the first that
 * ends.
 */
public final class Troubles {
  private static final double GONE_AFTER = 1;

  private Troubles() {}

  private static void during(
      Emulation in, double from, double to, Consumer<Emulation> on, Consumer<Emulation> off) {
    in.at(from, on).at(to, off);
  }

  private static void cut(Emulation in, double from, double to, List<String> ways) {
    during(in, from, to, e -> e.network.cut.addAll(ways), e -> ways.forEach(e.network.cut::remove));
  }

  /** Nothing reaches the counter, and nothing comes from it. */
  public static void counterSilent(Emulation in, double from, double to) {
    List<String> ways = new ArrayList<>();
    in.counter.forEach(part -> ways.addAll(List.of("*>" + part.name, part.name + ">*")));
    cut(in, from, to, ways);
  }

  /** The counter dies and comes back, with what it had or with nothing. */
  public static void counterDies(Emulation in, double from, double to, boolean empty) {
    during(
        in,
        from,
        to,
        e -> e.counter.forEach(part -> part.up(false)),
        e ->
            e.counter.forEach(
                part -> {
                  if (empty) {
                    part.lose();
                  }
                  part.up(true);
                }));
  }

  /** The counter loses all counts at once, and goes on. */
  public static void counterLoses(Emulation in, double from) {
    in.at(from, e -> e.counter.forEach(EmuCounter::lose));
  }

  /** Each call takes the counter so many times as long. */
  public static void counterSlow(Emulation in, double from, double to, double times) {
    during(
        in,
        from,
        to,
        e -> e.counter.forEach(part -> part.slow = times),
        e -> e.counter.forEach(part -> part.slow = 1));
  }

  /** The counter refuses this share of the calls. */
  public static void counterTurnsAway(Emulation in, double from, double to, double share) {
    double before = in.deployment.counter().turnsAway();
    during(
        in,
        from,
        to,
        e -> e.counter.forEach(part -> part.turnsAway = share),
        e -> e.counter.forEach(part -> part.turnsAway = before));
  }

  /**
   * Some gatekeepers, from the first on, are cut off from the counter.
   *
   * @param part from one part of it, or from all when below 0
   */
  public static void counterSplit(Emulation in, double from, double to, int gatekeepers, int part) {
    List<String> ways = new ArrayList<>();
    for (EmuCounter each : part < 0 ? in.counter : List.of(in.counter.get(part))) {
      for (int i = 0; i < gatekeepers; i++) {
        ways.add("g" + i + ">" + each.name);
      }
    }
    cut(in, from, to, ways);
  }

  /** A worker's work takes so many times as long. */
  public static void slow(Emulation in, double from, double to, String worker, double times) {
    during(in, from, to, e -> e.worker(worker).slow = times, e -> e.worker(worker).slow = 1);
  }

  /** A worker takes attempts and says nothing. */
  public static void silent(Emulation in, double from, double to, String worker) {
    during(in, from, to, e -> e.worker(worker).silent = true, e -> e.worker(worker).silent = false);
  }

  /** A worker does its work and loses this share of its answers. */
  public static void losesAnswers(
      Emulation in, double from, double to, String worker, double share) {
    during(in, from, to, e -> e.worker(worker).loses = share, e -> e.worker(worker).loses = 0);
  }

  /** A worker answers this share with an error. */
  public static void errs(Emulation in, double from, double to, String worker, double share) {
    during(in, from, to, e -> e.worker(worker).errs = share, e -> e.worker(worker).errs = 0);
  }

  /**
   * A worker's connections leak, so many a second, until it has none left to give; in the end it
   * has them back.
   */
  public static void leaks(Emulation in, double from, double to, String worker, double aSecond) {
    during(in, from, to, e -> e.worker(worker).leak(aSecond), e -> e.worker(worker).leak(0));
  }

  /** A worker dies, is taken off the roster, and comes back cold. */
  public static void dies(Emulation in, double from, double to, String worker) {
    during(
        in,
        from,
        to,
        e -> {
          e.worker(worker).die();
          e.list(worker, EndpointState.REMOVED);
        },
        e -> {
          e.worker(worker).start(true);
          e.list(worker, EndpointState.RUNNING);
        });
  }

  /** A worker drains, is gone when its grace is over, and comes back cold. */
  public static void drains(Emulation in, double from, double to, String worker) {
    double grace =
        in.deployment.rules().drainGraceMicros() / 1e6
            + in.deployment.rosterMicros() / 1e6
            + GONE_AFTER;
    in.at(from, e -> e.list(worker, EndpointState.DRAINING));
    dies(in, Math.min(from + grace, to), to, worker);
  }

  /**
   * All workers are replaced, so many at a time, as a deploy does: each drains, ends and comes back
   * cold.
   */
  public static void deploy(Emulation in, double from, double to, int atATime) {
    int all = in.deployment.workers();
    int batches = (all + atATime - 1) / atATime;
    double step = (to - from) / batches;
    for (int i = 0; i < all; i++) {
      double begin = from + i / atATime * step;
      drains(in, begin, begin + step, "w" + i);
    }
  }

  /** All workers of a zone die at once, and come back cold at once. */
  public static void zoneDies(Emulation in, double from, double to, int zone) {
    for (int i = zone; i < in.deployment.workers(); i += in.deployment.zones()) {
      dies(in, from, to, "w" + i);
    }
  }

  /** All ways take so many times as long. */
  public static void networkSlow(Emulation in, double from, double to, double times) {
    during(in, from, to, e -> e.network.slow = times, e -> e.network.slow = 1);
  }

  /** The roster tells no change; all of them at the end. */
  public static void rosterMute(Emulation in, double from, double to) {
    during(
        in,
        from,
        to,
        e -> e.rosterMute = true,
        e -> {
          e.rosterMute = false;
          e.gatekeepers.forEach(e::roster);
        });
  }

  /**
   * The clocks of some gatekeepers, from the first on, are ahead by so much, or behind when below
   * 0.
   */
  public static void clockSkew(Emulation in, double from, double to, int gatekeepers, long micros) {
    during(
        in,
        from,
        to,
        e -> e.gatekeepers.subList(0, gatekeepers).forEach(g -> g.skew(micros)),
        e -> e.gatekeepers.subList(0, gatekeepers).forEach(g -> g.skew(0)));
  }

  /** The processes of some gatekeepers, from the first on, are killed, and start again. */
  public static void gatekeepersDie(Emulation in, double from, double to, int gatekeepers) {
    during(
        in,
        from,
        to,
        e -> e.gatekeepers.subList(0, gatekeepers).forEach(e::kill),
        e -> e.gatekeepers.subList(0, gatekeepers).forEach(EmuGatekeeper::start));
  }

  /** Customers of one demand, or of all, ask so many times as much. */
  public static void burst(Emulation in, double from, double to, String demand, double times) {
    in.at(from, e -> e.more(demand, times - 1, to - from));
  }

  /** This share of the clients leaves early. */
  public static void giveUp(Emulation in, double from, double to, double share) {
    during(in, from, to, e -> e.leaving = share, e -> e.leaving = 0);
  }

  /** Clients try again at once whatever they are told, up to so many tries of each request. */
  public static void retryStorm(Emulation in, double from, double to, int tries) {
    during(in, from, to, e -> e.storm = tries, e -> e.storm = 0);
  }

  /** This share of the requests kills the process that works on it, in each of its attempts. */
  public static void poison(Emulation in, double from, double to, double share) {
    during(in, from, to, e -> e.poison = share, e -> e.poison = 0);
  }
}
