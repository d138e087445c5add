package fawndock.lab.emu;

import fawndock.Gatekeeper;
import fawndock.Gatekeeper.Action;
import fawndock.Gatekeeper.Attempt;
import fawndock.Gatekeeper.Cancel;
import fawndock.Gatekeeper.Count;
import fawndock.Gatekeeper.Counted;
import fawndock.Gatekeeper.Event;
import fawndock.Gatekeeper.Fail;
import fawndock.Gatekeeper.Gone;
import fawndock.Gatekeeper.Message;
import fawndock.Gatekeeper.Outcome;
import fawndock.Gatekeeper.Probe;
import fawndock.Gatekeeper.Probed;
import fawndock.Gatekeeper.Refuse;
import fawndock.Gatekeeper.Request;
import fawndock.Gatekeeper.Result;
import fawndock.Gatekeeper.Tell;
import fawndock.Gatekeeper.Wake;
import fawndock.Gatekeeper.WakeAfter;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.BiConsumer;
import java.util.function.Supplier;

/**
 * A gatekeeper's host in simulated time: carries out what the decisions say, as the gateway does
 * over sockets.
 */
final class EmuGatekeeper {
  /**
   * A client's request, and where its final answer goes: a status, and the advice to wait in
   * microseconds.
   */
  private static final class Open {
    final Request request;
    final String name;
    final String key;
    final BiConsumer<Integer, Long> answer;

    /** Attempts that are out, each with its server. */
    final Map<Integer, String> out = new HashMap<>();

    int attempts;
    boolean over;

    Open(Request request, String name, String key, BiConsumer<Integer, Long> answer) {
      this.request = request;
      this.name = name;
      this.key = key;
      this.answer = answer;
    }
  }

  /** In the place of a status: the connection broke. */
  static final int BROKE = -1;

  final int me;
  private final Emulation in;
  private final Supplier<Gatekeeper> maker;
  private Gatekeeper gatekeeper;
  private int life;
  private boolean up = true;
  private long skew;
  private long lastClock;
  private long lastAt;
  private final Map<Long, Open> requests = new HashMap<>();
  private final ArrayDeque<Event> inbox = new ArrayDeque<>();
  private boolean telling;
  private long nextId = 1;

  EmuGatekeeper(int me, Emulation in, Supplier<Gatekeeper> maker) {
    this.me = me;
    this.in = in;
    this.maker = maker;
    this.gatekeeper = maker.get();
  }

  /** Its clock is so much ahead of the others' from now on, behind when below 0. */
  void skew(long micros) {
    clock();
    skew = micros;
  }

  /**
   * As the gateway's: it never runs backwards, and goes on at half the speed until what it should
   * show has caught up.
   */
  private long clock() {
    long now = in.agenda.now();
    long shown = Math.max(now + skew, lastClock + (now - lastAt) / 2);
    lastClock = shown;
    lastAt = now;
    return shown;
  }

  /** Its process is killed: clients' connections break, and what it knew is lost. */
  void die() {
    up = false;
    life++;
    inbox.clear();
    Map<Long, Open> broken = new TreeMap<>(requests);
    requests.clear();
    broken.values().stream()
        .filter(open -> !open.over)
        .forEach(
            open -> {
              open.over = true;
              open.answer.accept(BROKE, 0L);
            });
  }

  boolean up() {
    return up;
  }

  void start() {
    gatekeeper = maker.get();
    up = true;
    in.roster(this);
  }

  /** A request has arrived; returns its number. */
  long request(Request asked, String name, String key, BiConsumer<Integer, Long> answer) {
    long id = nextId++;
    if (!up) {
      answer.accept(BROKE, 0L);
      return id;
    }
    Request request =
        new Request(
            id,
            asked.requestClass(),
            asked.plan(),
            asked.customer(),
            asked.giveUpAtMicros() - in.agenda.now() + clock(),
            asked.units(),
            asked.spread(),
            asked.first(),
            asked.repeat());
    requests.put(id, new Open(request, name, key, answer));
    tell(request);
    return id;
  }

  /** The client of a request has left. */
  void gone(long id) {
    Open open = requests.get(id);
    if (open != null && !open.over) {
      open.over = true;
      tell(new Gone(id));
      forget(open);
    }
  }

  void tell(Event event) {
    if (!up) {
      return;
    }
    inbox.add(event);
    if (telling) {
      return;
    }
    telling = true;
    for (Event next = inbox.poll(); next != null; next = inbox.poll()) {
      List<Action> actions = gatekeeper.on(clock(), next);
      if (next instanceof Request) {
        in.tried(actions.stream().anyMatch(Count.class::isInstance));
      }
      actions.forEach(this::carryOut);
    }
    telling = false;
  }

  private void carryOut(Action action) {
    if (action instanceof Attempt a) {
      attempt(a);
    } else if (action instanceof Refuse a) {
      end(a.requestId(), 429, a.retryAfterMicros());
    } else if (action instanceof Fail a) {
      end(a.requestId(), 504, 0);
    } else if (action instanceof Count a) {
      count(a);
    } else if (action instanceof WakeAfter a) {
      later(a.micros(), () -> tell(new Wake(a.token())));
    } else if (action instanceof Cancel a) {
      Open open = requests.get(a.requestId());
      if (open != null) {
        ended(open, a.attempt(), 0, Result.CANCELLED, Map.of());
      }
    } else if (action instanceof Probe a) {
      probe(a.server());
    } else if (action instanceof Tell a) {
      in.peers(
          me,
          a.to(),
          to ->
              in.network.sendLossy(
                  "g" + me, "g" + to.me, () -> to.tell(new Message(me, a.text()))));
    } else if (action instanceof Gatekeeper.Fetch) {
      in.roster(this);
    }
  }

  /** Something of this process: nothing once it has been killed. */
  private void later(long micros, Runnable what) {
    int mine = life;
    in.agenda.after(
        micros,
        () -> {
          if (mine == life) {
            what.run();
          }
        });
  }

  private void end(long id, int status, long retryAfter) {
    Open open = requests.get(id);
    if (open != null && !open.over) {
      open.over = true;
      open.answer.accept(status, retryAfter);
      forget(open);
    }
  }

  private void attempt(Attempt a) {
    Open open = requests.get(a.requestId());
    if (open == null) {
      throw new IllegalStateException(
          "an attempt for request " + a.requestId() + ", which is not held");
    }
    int number = open.attempts++;
    open.out.put(number, a.server());
    long now = in.agenda.now();
    long abandonAt =
        now
            - clock()
            + (a.abandonAtMicros() <= 0
                ? open.request.giveUpAtMicros()
                : Math.min(a.abandonAtMicros(), open.request.giveUpAtMicros()));
    EmuWorker worker = in.worker(a.server());
    if (open.over
        || worker == null
        || number >= in.deployment.limits().maxAttempts()
        || abandonAt <= now) {
      later(0, () -> ended(open, number, 0, Result.UNUSED, Map.of()));
      return;
    }
    in.network.send(
        () ->
            worker.arrive(
                open.name,
                open.key,
                (result, load) ->
                    in.network.send(
                        () -> ended(open, number, in.agenda.now() - now, result, load))));
    in.agenda.at(
        abandonAt, () -> ended(open, number, in.agenda.now() - now, Result.TIMEOUT, Map.of()));
  }

  /** An attempt ended, unless it had already. */
  private void ended(Open open, int number, long took, Result result, Map<String, Double> load) {
    String server = open.out.remove(number);
    if (server == null || requests.get(open.request.id()) != open) {
      return;
    }
    if (result == Result.OK && !open.over) {
      open.over = true;
      open.answer.accept(200, 0L);
    }
    tell(new Outcome(open.request.id(), number, server, took, result, open.over, 0, load));
    forget(open);
  }

  private void forget(Open open) {
    if (open.over && open.out.isEmpty()) {
      requests.remove(open.request.id());
    }
  }

  private void count(Count a) {
    long at = in.agenda.now();
    boolean[] over = {false};
    int mine = life;
    EmuCounter part = in.part(a.name());
    in.network.sendLossy(
        "g" + me,
        part.name,
        () ->
            part.add(
                a.name(),
                a.amount(),
                a.keepMicros(),
                (result, total) ->
                    in.network.sendLossy(
                        part.name,
                        "g" + me,
                        () -> {
                          if (mine == life) {
                            counted(
                                over, new Counted(a.name(), result, total, in.agenda.now() - at));
                          }
                        })));
    long wait = in.deployment.counter().waitMicros();
    later(wait, () -> counted(over, new Counted(a.name(), Result.TIMEOUT, 0, wait)));
  }

  private void counted(boolean[] over, Counted counted) {
    if (!over[0]) {
      over[0] = true;
      tell(counted);
    }
  }

  private void probe(String server) {
    EmuWorker worker = in.worker(server);
    long at = in.agenda.now();
    in.network.send(
        () ->
            in.network.send(
                () ->
                    tell(
                        new Probed(
                            server,
                            in.agenda.now() - at,
                            worker != null && worker.up() && !worker.silent
                                ? Result.OK
                                : Result.TIMEOUT,
                            Map.of()))));
  }
}
