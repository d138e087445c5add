package fawndock.host;

import fawndock.Gatekeeper;
import fawndock.Gatekeeper.Action;
import fawndock.Gatekeeper.Attempt;
import fawndock.Gatekeeper.Cancel;
import fawndock.Gatekeeper.Count;
import fawndock.Gatekeeper.Event;
import fawndock.Gatekeeper.Fail;
import fawndock.Gatekeeper.Fetch;
import fawndock.Gatekeeper.Gone;
import fawndock.Gatekeeper.Note;
import fawndock.Gatekeeper.Outcome;
import fawndock.Gatekeeper.Probe;
import fawndock.Gatekeeper.Refuse;
import fawndock.Gatekeeper.Request;
import fawndock.Gatekeeper.Result;
import fawndock.Gatekeeper.Started;
import fawndock.Gatekeeper.Tell;
import fawndock.Gatekeeper.Wake;
import fawndock.Gatekeeper.WakeAfter;
import fawndock.Gatekeeper.Watch;
import fawndock.host.Answers.Verdict;
import fawndock.host.Exchange.Asked;
import fawndock.host.OpenRequest.Stage;
import java.util.HashMap;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One gatekeeper on one event-loop context: tells it what happens, in order, and carries out what
 * it returns. What the sockets tell while an action is carried out waits its turn, so the
 * gatekeeper never calls itself. All methods belong to that one context.
 */
public final class GatekeeperHost {
  private static final Logger LOG = LoggerFactory.getLogger(GatekeeperHost.class);

  /** What a host reaches beside its clients: servers, counter service, fellows and discovery. */
  public interface Links {
    /**
     * Adds to a count; tells exactly one {@link Gatekeeper.Counted}, in a later turn, in order for
     * each name.
     */
    void count(Count count);

    void tell(Tell tell);

    /** Asks the roster for the complete list anew, and for changes after it. */
    void watch();

    void fetch();

    /** Makes an attempt that is not started yet. */
    OpenAttempt attempt(OpenRequest request, int number, String server);

    /** Probes a server; tells exactly one {@link Gatekeeper.Probed}. */
    void probe(String server);
  }

  private final MicroClock clock;
  private final Alarms alarms;
  private final Links links;
  private final int maxAttempts;
  private final Answers answers;
  private final Map<Long, OpenRequest> requests = new HashMap<>();
  private Decisions decisions;
  private long nextId;
  private int open;
  private Runnable whenIdle;

  /**
   * A host that has no decisions yet.
   *
   * @param maxAttempts the most attempts of one request; more are never sent
   * @param firstId of the requests: where servers are told it, above those of an earlier life of
   *     this process
   */
  public GatekeeperHost(
      MicroClock clock,
      Alarms alarms,
      Links links,
      int maxAttempts,
      long firstId,
      Answers answers) {
    this.clock = clock;
    this.alarms = alarms;
    this.links = links;
    this.maxAttempts = maxAttempts;
    this.answers = answers;
    this.nextId = firstId;
  }

  /** Gives the decisions; to be called before anything is told. */
  public void decideBy(Gatekeeper decider) {
    decisions = new Decisions(decider, clock, this::carryOut, LOG);
  }

  /** Takes on a client's request; the exchange is answered exactly once, or the client has left. */
  public long request(Exchange exchange) {
    Asked asked = exchange.asked();
    OpenRequest request = new OpenRequest(nextId++, exchange);
    requests.put(request.id, request);
    open++;
    // The gatekeeper answers before the client gives up. Guards against one that failed to; each
    // such answer
    // is logged as an error. May answer late when the event loop itself is late.
    request.backstop = alarms.after(asked.giveUpAt() - clock.now(), () -> overdue(request));
    tell(
        new Request(
            request.id,
            asked.type().name(),
            asked.plan(),
            asked.customer(),
            asked.giveUpAt(),
            asked.units(),
            asked.spread(),
            asked.first(),
            asked.repeat()));
    return request.id;
  }

  /** The client of a request has left. */
  public void gone(long id) {
    OpenRequest request = requests.get(id);
    if (request == null || request.over()) {
      return;
    }
    over(request, Verdict.GONE, "client left");
    request.attempts.forEach(OpenAttempt::leave);
    tell(new Gone(id));
    forget(request);
  }

  /**
   * Tells the gatekeeper what happened and carries out what it says, now or after what is being
   * told.
   */
  public void tell(Event event) {
    decisions.tell(event);
  }

  private void carryOut(Action action) {
    if (action instanceof Attempt a) {
      attempt(a);
    } else if (action instanceof Refuse a) {
      OpenRequest request = requests.get(a.requestId());
      if (request != null && request.stage == Stage.OPEN) {
        over(request, Verdict.REFUSED, reason(request));
        request.exchange.refuse(a.retryAfterMicros());
        forget(request);
      }
    } else if (action instanceof Fail a) {
      fail(requests.get(a.requestId()));
    } else if (action instanceof Count a) {
      links.count(a);
    } else if (action instanceof WakeAfter a) {
      String token = a.token();
      alarms.after(a.micros(), () -> tell(new Wake(token)));
    } else if (action instanceof Cancel a) {
      OpenRequest request = requests.get(a.requestId());
      if (request != null && a.attempt() >= 0 && a.attempt() < request.attempts.size()) {
        request.attempts.get(a.attempt()).cancel();
      }
    } else if (action instanceof Probe a) {
      links.probe(a.server());
    } else if (action instanceof Tell a) {
      links.tell(a);
    } else if (action instanceof Fetch) {
      links.fetch();
    } else if (action instanceof Watch) {
      links.watch();
    } else if (action instanceof Note a) {
      LOG.info("gatekeeper: {}", a.text());
    }
  }

  private void attempt(Attempt a) {
    OpenRequest request = requests.get(a.requestId());
    if (request == null) {
      LOG.error("attempt for request {}, which is not held", a.requestId());
      return;
    }
    OpenAttempt attempt = links.attempt(request, request.attempts.size(), a.server());
    request.attempts.add(attempt);
    request.out++;
    Asked asked = request.exchange.asked();
    long abandonAt =
        a.abandonAtMicros() <= 0
            ? asked.giveUpAt()
            : Math.min(a.abandonAtMicros(), asked.giveUpAt());
    if (request.stage != Stage.OPEN || attempt.number >= maxAttempts || abandonAt <= clock.now()) {
      attempt.end(Result.UNUSED);
      return;
    }
    attempt.start(abandonAt);
  }

  /**
   * An attempt's whole answer has come; it is the client's, passed on by what is given, when it is
   * the first.
   */
  public void deliver(OpenRequest request, OpenAttempt attempt, Runnable serve) {
    if (request.stage == Stage.OPEN) {
      over(request, Verdict.SERVED, attempt.server);
      serve.run();
    }
  }

  /** A streamed answer begins. */
  public void begin(OpenRequest request, OpenAttempt attempt) {
    request.stream();
    alarms.cancel(request.backstop);
    tell(new Started(request.id, attempt.number, attempt.server));
  }

  /** A streamed answer has ended, whole or not. */
  public void streamed(OpenRequest request, OpenAttempt attempt, boolean whole) {
    if (request.stage == Stage.STREAMING) {
      over(
          request,
          whole ? Verdict.SERVED : Verdict.FAILED,
          whole ? attempt.server : "stream broke");
      if (!whole) {
        request.exchange.abort();
      }
    }
  }

  /** An attempt ended. */
  void ended(
      OpenRequest request,
      OpenAttempt attempt,
      long tookMicros,
      Map<String, Double> load,
      double units) {
    request.out--;
    tell(
        new Outcome(
            request.id,
            attempt.number,
            attempt.server,
            tookMicros,
            attempt.result(),
            request.over(),
            attempt.result() == Result.OK ? units : 0,
            load));
    forget(request);
  }

  private void fail(OpenRequest request) {
    if (request == null || request.stage != Stage.OPEN) {
      return;
    }
    String reason = reason(request);
    boolean answered = request.answered();
    over(request, Verdict.FAILED, reason);
    request.exchange.fail(answered, reason);
    forget(request);
  }

  private void overdue(OpenRequest request) {
    if (request.stage == Stage.OPEN) {
      LOG.error("request {} had no answer from its gatekeeper in time", request.id);
      fail(request);
      tell(new Gone(request.id));
    }
  }

  /** What the host knows of why there is no answer: how the last attempt ended. */
  private static String reason(OpenRequest request) {
    if (request.attempts.isEmpty()) {
      return "not sent";
    }
    Result last = request.attempts.get(request.attempts.size() - 1).result();
    return last == null
        ? "no answer yet"
        : "last attempt " + last.name().toLowerCase(java.util.Locale.ROOT);
  }

  private void over(OpenRequest request, Verdict verdict, String reason) {
    request.stage = Stage.OVER;
    alarms.cancel(request.backstop);
    open--;
    answers.answered(request, clock.now(), verdict, reason);
  }

  private void forget(OpenRequest request) {
    if (request.over()
        && request.out == 0
        && requests.remove(request.id) != null
        && requests.isEmpty()
        && whenIdle != null) {
      whenIdle.run();
    }
  }

  /** Requests without their final answer. */
  public int open() {
    return open;
  }

  /** Runs something once nothing is held any more: at once when that is so now. */
  public void whenIdle(Runnable what) {
    whenIdle = what;
    if (requests.isEmpty()) {
      what.run();
    }
  }

  public MicroClock clock() {
    return clock;
  }

  public Alarms alarms() {
    return alarms;
  }
}
