package fawndock.simulation;

import fawndock.policy.GatewayPolicy;
import fawndock.policy.action.AddToCounter;
import fawndock.policy.action.CancelAttempt;
import fawndock.policy.action.FailRequest;
import fawndock.policy.action.FetchEndpoints;
import fawndock.policy.action.PolicyAction;
import fawndock.policy.action.RejectRequest;
import fawndock.policy.action.ScheduleTimer;
import fawndock.policy.action.SendPeerMessage;
import fawndock.policy.action.StartAttempt;
import fawndock.policy.action.StartHealthCheck;
import fawndock.policy.event.AttemptCompleted;
import fawndock.policy.event.CallResult;
import fawndock.policy.event.ClientDisconnected;
import fawndock.policy.event.CounterReply;
import fawndock.policy.event.HealthCheckCompleted;
import fawndock.policy.event.LoadReport;
import fawndock.policy.event.PeerMessageReceived;
import fawndock.policy.event.PolicyEvent;
import fawndock.policy.event.RequestArrived;
import fawndock.policy.event.TimerFired;
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
    final RequestArrived request;
    final String name;
    final String key;
    final BiConsumer<Integer, Long> answer;

    /** Attempts that are out, each with its server. */
    final Map<Integer, String> out = new HashMap<>();

    int attempts;
    boolean over;

    Open(RequestArrived request, String name, String key, BiConsumer<Integer, Long> answer) {
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
  private final Supplier<GatewayPolicy> maker;
  private GatewayPolicy gatekeeper;
  private int life;
  private boolean up = true;
  private long skew;
  private long lastClock;
  private long lastAt;
  private final Map<Long, Open> requests = new HashMap<>();
  private final ArrayDeque<PolicyEvent> inbox = new ArrayDeque<>();
  private boolean telling;
  private long nextId = 1;

  EmuGatekeeper(int me, Emulation in, Supplier<GatewayPolicy> maker) {
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
  long request(RequestArrived asked, String name, String key, BiConsumer<Integer, Long> answer) {
    long id = nextId++;
    if (!up) {
      answer.accept(BROKE, 0L);
      return id;
    }
    RequestArrived request =
        new RequestArrived(
            id,
            asked.requestClass(),
            asked.plan(),
            asked.customer(),
            asked.deadlineAtMicros() - in.agenda.now() + clock(),
            asked.units(),
            asked.customerInstanceCount(),
            asked.customerFirstInstanceIndex(),
            asked.isRetry());
    requests.put(id, new Open(request, name, key, answer));
    tell(request);
    return id;
  }

  /** The client of a request has left. */
  void gone(long id) {
    Open open = requests.get(id);
    if (open != null && !open.over) {
      open.over = true;
      tell(new ClientDisconnected(id));
      forget(open);
    }
  }

  void tell(PolicyEvent event) {
    if (!up) {
      return;
    }
    inbox.add(event);
    if (telling) {
      return;
    }
    telling = true;
    for (PolicyEvent next = inbox.poll(); next != null; next = inbox.poll()) {
      List<PolicyAction> actions = gatekeeper.onEvent(clock(), next);
      if (next instanceof RequestArrived) {
        in.tried(actions.stream().anyMatch(AddToCounter.class::isInstance));
      }
      actions.forEach(this::carryOut);
    }
    telling = false;
  }

  private void carryOut(PolicyAction action) {
    if (action instanceof StartAttempt a) {
      attempt(a);
    } else if (action instanceof RejectRequest a) {
      end(a.requestId(), 429, a.retryAfterMicros());
    } else if (action instanceof FailRequest a) {
      end(a.requestId(), 504, 0);
    } else if (action instanceof AddToCounter a) {
      count(a);
    } else if (action instanceof ScheduleTimer a) {
      later(a.delayMicros(), () -> tell(new TimerFired(a.timer())));
    } else if (action instanceof CancelAttempt a) {
      Open open = requests.get(a.requestId());
      if (open != null) {
        ended(open, a.attemptIndex(), 0, CallResult.CANCELLED, LoadReport.NONE);
      }
    } else if (action instanceof StartHealthCheck a) {
      probe(a.endpointId());
    } else if (action instanceof SendPeerMessage a) {
      in.peers(
          me,
          a.toInstance(),
          to ->
              in.network.sendLossy(
                  "g" + me, "g" + to.me, () -> to.tell(new PeerMessageReceived(me, a.text()))));
    } else if (action instanceof FetchEndpoints) {
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

  private void attempt(StartAttempt a) {
    Open open = requests.get(a.requestId());
    if (open == null) {
      throw new IllegalStateException(
          "an attempt for request " + a.requestId() + ", which is not held");
    }
    int number = open.attempts++;
    open.out.put(number, a.endpointId());
    long now = in.agenda.now();
    long abandonAt =
        now
            - clock()
            + (a.deadlineAtMicros() <= 0
                ? open.request.deadlineAtMicros()
                : Math.min(a.deadlineAtMicros(), open.request.deadlineAtMicros()));
    EmuWorker worker = in.worker(a.endpointId());
    if (open.over
        || worker == null
        || number >= in.deployment.limits().maxAttempts()
        || abandonAt <= now) {
      later(0, () -> ended(open, number, 0, CallResult.NOT_SENT, LoadReport.NONE));
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
        abandonAt,
        () -> ended(open, number, in.agenda.now() - now, CallResult.TIMEOUT, LoadReport.NONE));
  }

  /** An attempt ended, unless it had already. */
  private void ended(Open open, int number, long took, CallResult result, LoadReport load) {
    String server = open.out.remove(number);
    if (server == null || requests.get(open.request.requestId()) != open) {
      return;
    }
    if (result == CallResult.OK && !open.over) {
      open.over = true;
      open.answer.accept(200, 0L);
    }
    tell(
        new AttemptCompleted(
            open.request.requestId(), number, server, took, result, open.over, 0, load));
    forget(open);
  }

  private void forget(Open open) {
    if (open.over && open.out.isEmpty()) {
      requests.remove(open.request.requestId());
    }
  }

  private void count(AddToCounter a) {
    long at = in.agenda.now();
    boolean[] over = {false};
    int mine = life;
    EmuCounter part = in.part(a.counterName());
    in.network.sendLossy(
        "g" + me,
        part.name,
        () ->
            part.add(
                a.counterName(),
                a.amount(),
                a.timeToLiveMicros(),
                (result, total) ->
                    in.network.sendLossy(
                        part.name,
                        "g" + me,
                        () -> {
                          if (mine == life) {
                            counted(
                                over,
                                new CounterReply(
                                    a.counterName(), result, total, in.agenda.now() - at));
                          }
                        })));
    long wait = in.deployment.counter().waitMicros();
    later(
        wait, () -> counted(over, new CounterReply(a.counterName(), CallResult.TIMEOUT, 0, wait)));
  }

  private void counted(boolean[] over, CounterReply counted) {
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
                        new HealthCheckCompleted(
                            server,
                            in.agenda.now() - at,
                            worker != null && worker.up() && !worker.silent
                                ? CallResult.OK
                                : CallResult.TIMEOUT,
                            LoadReport.NONE))));
  }
}
