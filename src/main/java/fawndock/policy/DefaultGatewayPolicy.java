package fawndock.policy;

import fawndock.policy.action.AddToCounter;
import fawndock.policy.action.CancelAttempt;
import fawndock.policy.action.FailRequest;
import fawndock.policy.action.PolicyAction;
import fawndock.policy.action.RejectRequest;
import fawndock.policy.action.ScheduleTimer;
import fawndock.policy.action.StartAttempt;
import fawndock.policy.action.WatchEndpoints;
import fawndock.policy.config.DeduplicationScope;
import fawndock.policy.config.Idempotency;
import fawndock.policy.config.Plan;
import fawndock.policy.config.PolicyConfig;
import fawndock.policy.config.RequestClass;
import fawndock.policy.config.ServiceRules;
import fawndock.policy.event.AttemptCompleted;
import fawndock.policy.event.CallResult;
import fawndock.policy.event.ClientDisconnected;
import fawndock.policy.event.CounterReply;
import fawndock.policy.event.Endpoint;
import fawndock.policy.event.EndpointState;
import fawndock.policy.event.EndpointUpdate;
import fawndock.policy.event.EndpointUpdateKind;
import fawndock.policy.event.PolicyEvent;
import fawndock.policy.event.PolicyTimer;
import fawndock.policy.event.RequestArrived;
import fawndock.policy.event.ResponseStarted;
import fawndock.policy.event.TimerFired;
import java.util.*;

/**
 * The decisions of one gatekeeper; the types it takes and gives are all in GatewayPolicy.java. A
 * request is first weighed against its customer's pair of counts (quota), then waits for room on a
 * server (server choice, health), is sent (attempts) and is answered before its client gives up
 * (deadlines).
 */
public final class DefaultGatewayPolicy implements GatewayPolicy {
  private static final long LONGEST_WINDOW = 30_000_000; // Names are kept 60 s: two windows.
  private static final double WAIT_OF_AIM =
      0.1; // Longest wait for the counter: costs no answer by itself.
  private static final int SILENCES =
      6; // Failures in a row after which the counter is not waited for.
  private static final int SILENT_WAITS = 3; // ... and longest call times without a sign of life.

  /**
   * Calls are sped up by answers within this share of the longest call time, slowed beyond the
   * second.
   */
  private static final double PROMPT = 0.3, TARDY = 0.5;

  /**
   * Share of tries asked: what a prompt answer adds, at least and in part, what a failure leaves.
   */
  private static final double PACE_STEP = 0.02,
      PACE_GROWTH = 0.05,
      PACE_CUT = 0.7,
      LEAST_PACE = 0.04;

  private static final long TIGHT =
      5_000_000; // Time without trouble before a try may cost a second call.
  private static final double UNPACED =
      8; // Gatekeepers that may all ask before the counter is known.
  private static final double LEAST_CALLS =
      100; // A second, of all gatekeepers: any counter takes as many.
  private static final double GAP_EASE =
      0.5; // Of the gap between calls beside the pace, after an answer.
  private static final int LEVELS = 6; // Levels of local demand, each twice the one below.

  /** How risk rises with them, and for repeats, before any try was asked. */
  private static final double FIRST_RISK = 0.1,
      LEVEL_RISK = 0.13,
      REPEAT_RISK = 0.3,
      MOST_RISK = 0.9;

  /** Samples that these first guesses stand for, and windows over which local demand is taken. */
  private static final double PRIOR_SAMPLES = 4, DEMAND_WINDOWS = 3;

  private static final double RISK_GAIN = 0.3,
      RISK_WINDOWS = 4; // A customer's risk: its last tries.
  private static final long REMEMBERED =
      12; // Windows without a try: risk has faded to a twentieth.
  private static final double BREAK_EVEN =
      0.7; // Of the risk: a client refused unasked may come again.
  private static final double LEAST_GAIN =
      0.01; // Of a try's worth: keeps the order among risky ones.
  private static final double MOST_STAND_IN = 1; // Most of a limit that one asked try counts for.
  private static final double UNHEARD = 0.5,
      EXPECTED = 0.7; // Windows of such a use that it is drawn to.
  private static final double LOST =
      0.5; // What a count must lack of own adds before they are put back.
  private static final double OWED_DELAY = 0.06,
      OWED_DELAY_CROWDED = 0.3; // Of a window, then sent alone.
  private static final double SELDOM =
      0.1; // Calls to ride with in that time that are not waited for.
  private static final double SLOW_GAIN = 0.05; // Weight of a new sample: about the last 20 count.
  private static final double FAST_GAIN = 0.2; // ... in a server's latency: it is seen seldom.
  private static final double LATENCY_TARGET =
      0.25; // Mean latency, of the aim: the tail takes the rest.
  private static final double FIRST_OUT =
      12; // Attempts out at a server, of all gatekeepers, at first.
  private static final double LEAST_OUT =
      4; // ... and at the least: keeps a small server's cores at work.
  private static final double NEAR_FULL = 0.7,
      GROWTH = 0.02; // Used so far, room grows so much an answer.
  private static final double COLD_PART = 1.5; // Of an even share times warmth: most are warmer.
  private static final double HOLD =
      0.25; // Longest hold, of the aim: a standing queue makes all late.
  private static final int FAILURES = 3; // Failures in a row that take a server out.
  private static final long FIRST_EJECTION = 1_000_000,
      LONGEST_EJECTION = 16_000_000; // Doubles each time.
  private static final double MOST_EJECTED =
      0.5; // When more servers fail, the cause is not theirs.
  private static final long REPORT_AGE = 2_000_000; // A load report older than this says nothing.
  private static final double FADE = 20_000_000; // An unused server's latency is forgotten by then.
  private static final int SUBSET = 8,
      SHARERS = 4; // Servers a gatekeeper keeps to; gatekeepers a server.
  private static final int CANDIDATES = 16; // Servers looked at for a send.
  private static final double RETRY_SHARE = 0.1,
      RETRY_STORE = 10; // Further attempts for each first one.
  private static final int MARGIN_ROUNDS =
      2; // Rounds before the client gives up in which it is answered,
  private static final double MARGIN_PART = 0.1; // ... and the part of its time, if that is longer.

  private enum Kind {
    RATE,
    OPEN,
    CEILING
  }

  /** One named count as this gatekeeper knows it. */
  private static final class Tally {
    final Pair pair;
    final String name;
    final long number;

    /**
     * The total heard; this gatekeeper's confirmed adds; what it has yet to add; what it sent on.
     */
    double total, added, owed, sent;

    boolean closedRead, waking, heard;
    Call reading;

    Tally(Pair pair, long number) {
      this.pair = pair;
      this.name = pair.prefix + Long.toString(number, Character.MAX_RADIX);
      this.number = number;
    }

    boolean lapsed(long now) {
      return now >= (number + 2) * pair.window;
    }
  }

  /** The pair of counts of one customer for one purpose. */
  private static final class Pair {
    final Kind kind;
    final String prefix;
    final long window;
    final double limit;
    Tally current, previous;

    /** The share of this customer's asked tries that were over, of late. */
    double risk = Double.NaN, demand;

    long riskAt, demandAt;

    /**
     * The customer's store as replayed from the totals heard, and how far into each count that
     * goes.
     */
    double level = Double.NaN, levelCurrent, levelPrevious;

    long levelAt;

    Pair(Kind kind, String prefix, long window, double limit) {
      this.kind = kind;
      this.prefix = prefix;
      this.window = window;
      this.limit = limit;
    }

    void roll(long now, Map<String, Tally> tallies) {
      long number = now / window;
      if (current != null && current.number == number) {
        return;
      }
      boolean next = current != null && current.number == number - 1;
      if (previous != null) {
        tallies.remove(previous.name);
      }
      if (current != null && !next) {
        tallies.remove(current.name);
      }
      previous = next ? current : new Tally(this, number - 1);
      current = new Tally(this, number);
      tallies.put(previous.name, previous);
      tallies.put(current.name, current);
      level = next ? level : Double.NaN;
      levelAt = next ? levelAt : now;
      levelPrevious = levelCurrent;
      levelCurrent = 0;
    }

    double estimate(double previous, double current, long now) {
      return DefaultGatewayPolicy.estimate(previous, current, now % window, window);
    }

    // What the store holds, from the same two totals: it fills at the plan's rate and is drained by
    // what
    // was added since the last look. Each count is followed by its highest mark: a total read
    // before an
    // own add came in, or a peer's add that is taken back, must not fill the store again.
    void replay(double before, double earlier, long now) {
      double markCurrent = Math.max(before, levelCurrent);
      double markPrevious = Math.max(previous.total, levelPrevious);
      level =
          Double.isNaN(level)
              ? Math.max(0, limit - estimate(earlier, before, now))
              : levelBound(now) - (markCurrent - levelCurrent) - (markPrevious - levelPrevious);
      levelCurrent = markCurrent;
      levelPrevious = markPrevious;
      levelAt = now;
    }

    /** The most that the store can hold by now. */
    double levelBound(long now) {
      return Double.isNaN(level) ? 0 : Math.min(limit, level + limit * (now - levelAt) / window);
    }
  }

  /** A call to the counter that is out. */
  private record Call(Tally tally, double amount, double units, List<Held> waiters) {}

  /** What was added for a request to one count, and the total found before it. */
  private static final class Share {
    final Pair pair;
    final Tally tally;
    final double units;

    /**
     * How high this gatekeeper's own demand for the customer is, and the total found before this
     * try.
     */
    int level;

    double before = Double.NaN, counted;

    Share(Pair pair, Tally tally, double units) {
      this.pair = pair;
      this.tally = tally;
      this.units = units;
    }
  }

  /** A request that this gatekeeper holds. */
  private static final class Held {
    final RequestArrived request;
    final ClassState type;
    final Plan plan;
    final long arrived, aimAt;
    final Map<Kind, Share> shares = new TreeMap<>();
    final List<Try> tries = new ArrayList<>(1);
    int waiting, out, draw;
    boolean decided, done, streaming;
    double rank, weight, luck;
    long startBy;

    Held(RequestArrived request, ClassState type, Plan plan, long now) {
      this.request = request;
      this.type = type;
      this.plan = plan;
      this.arrived = now;
      this.aimAt = Math.min(now + type.info.latencyObjectiveMicros(), request.deadlineAtMicros());
    }
  }

  /** One attempt of a request. */
  private static final class Try {
    final ServerState server;
    final long sentAt;
    final double outBefore;
    CallResult result;
    boolean overdue;

    Try(ServerState server, long sentAt, double outBefore) {
      this.server = server;
      this.sentAt = sentAt;
      this.outBefore = outBefore;
    }

    boolean mayHaveRun() {
      return result == null || result.mayHaveTakenEffect;
    }
  }

  /** What has been learned of a class. */
  private static final class ClassState {
    final RequestClass info;
    double latency, units = 1;

    ClassState(RequestClass info) {
      this.info = info;
      this.latency = info.latencyObjectiveMicros() * LATENCY_TARGET / 2;
    }
  }

  /** What has been learned of a server. */
  private static final class ServerState {
    Endpoint info;
    boolean running;
    double latency = Double.NaN, out, reported;
    int failures, ejections;
    long heardAt, ejectedUntil, reportedAt = Long.MIN_VALUE / 2;
    final TreeMap<Long, Integer> sentAt = new TreeMap<>();
  }

  private final PolicyConfig settings;
  private final SplittableRandom random;
  private final Map<String, ClassState> classes = new LinkedHashMap<>();
  private final Map<String, Plan> plans = new LinkedHashMap<>();
  private final TreeMap<String, ServerState> servers = new TreeMap<>();
  private final Map<String, Pair> pairs =
      new LinkedHashMap<>(64, 0.75f, true); // The longest unused first.
  private final Map<String, Tally> tallies = new LinkedHashMap<>();
  private final double[][] risk = new double[2][LEVELS], samples = new double[2][LEVELS];
  private final Map<String, ArrayDeque<Call>> calls = new LinkedHashMap<>();
  private final Map<Long, Held> held = new LinkedHashMap<>();
  private final TreeSet<Held> queue =
      new TreeSet<>(
          (a, b) ->
              a.rank != b.rank
                  ? Double.compare(b.rank, a.rank)
                  : a.arrived != b.arrived
                      ? Long.compare(a.arrived, b.arrived)
                      : Long.compare(a.request.requestId(), b.request.requestId()));
  private List<ServerState> running = List.of();
  private final long longestDeadline, longestAim;
  private List<PolicyAction> actions = new ArrayList<>();
  private long now,
      heardAt,
      crowdedAt = Long.MIN_VALUE / 2,
      askedAt = Long.MIN_VALUE / 2,
      gap,
      between;
  private int silences;
  private boolean ramping = true;
  private double pace, fleetOut, meanOut, room;
  private double spared = 1; // The share of tries asked of those that the pace leaves out.
  private double retries = RETRY_STORE, fleetLatency = LATENCY_TARGET / 2;

  /** Makes the decisions of one gatekeeper. */
  public DefaultGatewayPolicy(PolicyConfig settings) {
    this.settings = settings;
    this.random = new SplittableRandom(settings.randomSeed());
    settings.requestClasses().forEach(c -> classes.put(c.name(), new ClassState(c)));
    settings.plans().forEach(p -> plans.put(p.name(), p));
    List<RequestClass> types = settings.requestClasses();
    longestDeadline =
        types.stream().mapToLong(RequestClass::deadlineMicros).max().orElse(1_000_000);
    longestAim =
        types.stream().mapToLong(RequestClass::latencyObjectiveMicros).max().orElse(1_000_000);
    for (int i = 0; i < 2 * LEVELS; i++) {
      risk[i / LEVELS][i % LEVELS] =
          Math.min(MOST_RISK, FIRST_RISK + LEVEL_RISK * (i % LEVELS) + REPEAT_RISK * (i / LEVELS));
    }
    pace = Math.min(1, UNPACED / Math.max(1, settings.instanceCount()));
  }

  @Override
  public List<PolicyAction> onEvent(long nowMicros, PolicyEvent event) {
    now = nowMicros;
    actions = new ArrayList<>();
    if (event instanceof RequestArrived e) {
      request(e);
    }
    if (event instanceof CounterReply e) {
      counted(e);
    }
    if (event instanceof AttemptCompleted e) {
      outcome(e);
    }
    if (event instanceof TimerFired e) {
      wake(e.timer());
    }
    if (event instanceof EndpointUpdate e) {
      list(e);
    }
    if (event instanceof ClientDisconnected e) {
      gone(e);
    }
    if (event instanceof ResponseStarted e) {
      started(e);
    }
    dispatch();
    return actions;
  }

  // ---- quota ----

  private void request(RequestArrived r) {
    if (held.containsKey(r.requestId())) {
      return;
    }
    // A class or plan that the settings do not name: nothing may be repeated, and there is no
    // quota.
    ClassState type =
        classes.computeIfAbsent(
            r.requestClass(),
            name ->
                new ClassState(
                    new RequestClass(
                        name,
                        longestDeadline,
                        0,
                        longestDeadline,
                        1,
                        0,
                        Idempotency.AT_MOST_ONCE,
                        DeduplicationScope.CELL,
                        0,
                        false)));
    Plan plan = plans.computeIfAbsent(r.plan(), name -> new Plan(name, 0, 0, 0, 1, 0, 0, 0, 0, 0));
    Held q = new Held(r, type, plan, now);
    held.put(r.requestId(), q);
    // Guards against a final answer after the client's time when a core was held up. May fail a
    // request whose answer would have come in the last part of its time.
    long rounds = MARGIN_ROUNDS * settings.roundTripMicros();
    double margin = Math.max(rounds, MARGIN_PART * (r.deadlineAtMicros() - now));
    wakeAt(
        Math.max(now, r.deadlineAtMicros() - (long) margin),
        new PolicyTimer.AnswerDeadline(r.requestId()));
    ask(q);
  }

  // Asks the counter for each kind of quota. A crowded counter is not asked about what is proven
  // over, and
  // about the rest by chance.
  private void ask(Held q) {
    for (Kind kind : settings.counter().isPresent() ? Kind.values() : new Kind[0]) {
      Pair pair = pair(q, kind);
      if (pair == null) {
        continue;
      }
      Share share = new Share(pair, pair.current, kind == Kind.OPEN ? 1 : q.request.units());
      q.shares.put(kind, share);
      share.level = demand(share, q);
      if (crowded() && !silent() && proven(share, q)) {
        refuse(q, left(pair, q));
        return;
      }
    }
    double paced = q.shares.containsKey(Kind.CEILING) ? 1 : pace;
    double chance = paced + (1 - paced) * spared;
    if (random.nextDouble() < paced || spare()) {
      asked();
      q.shares
          .values()
          .forEach(
              share -> {
                share.counted = adds(share, q, chance);
                call(share.tally, share.counted, share.counted).waiters.add(q);
                q.waiting++;
                if (share.pair.kind == Kind.CEILING) {
                  readPrevious(q, share.pair);
                }
              });
    }
    if (q.waiting == 0 || silent()) {
      decide(q);
    } else {
      long most = (long) (WAIT_OF_AIM * q.type.info.latencyObjectiveMicros());
      wakeAt(
          now + Math.min(settings.counter().timeoutMicros(), most),
          new PolicyTimer.CounterWaitTimeout(q.request.requestId()));
    }
  }

  // Whether a try is asked that the pace would leave out: while no call is out, and after failures
  // ever
  // more seldom. Guards against a gatekeeper of a large fleet that has few tries: by its share of
  // them it
  // would hear nothing of the counter for minutes, and let in on guesses all the while. May hurt a
  // crowded
  // counter, which each gatekeeper then asks once in the longest gap whatever its pace.
  private boolean spare() {
    boolean is = calls.isEmpty() && now - askedAt >= gap;
    spared += FAST_GAIN * ((is ? 1 : 0) - spared);
    return is;
  }

  private void asked() {
    between = Math.min(now - askedAt, Long.MAX_VALUE / 4);
    askedAt = now;
  }

  // What a call for a try adds. A likely refusal only reads: most would take their add back again.
  // A try
  // that would go on unasked stands for those like it: asked one time in n, it counts for n of
  // them, within
  // reason, so that the count stays right in the mean at any pace.
  private double adds(Share share, Held q, double chance) {
    if (share.pair.kind == Kind.CEILING || silent()) {
      return share.units;
    }
    if (proven(share, q) || risk(share, q) * (1 + overLoss(q)) > BREAK_EVEN) {
      return 0;
    }
    return Math.min(share.units / chance, Math.max(share.units, share.pair.limit * MOST_STAND_IN));
  }

  /** Calls are held back: the counter turned some away, or answered late. */
  private boolean crowded() {
    return pace < 1;
  }

  /**
   * It was crowded of late: each try is asked again, but calls beside those would soon bring that
   * back.
   */
  private boolean tight() {
    return crowded() || now - crowdedAt < TIGHT;
  }

  /**
   * No sign of life from the counter for several calls and long enough that it is not just crowded.
   */
  private boolean silent() {
    return silences >= SILENCES
        && now - heardAt > SILENT_WAITS * settings.counter().timeoutMicros();
  }

  // Client-side adaptive throttling: the share of tries asked grows with prompt answers and is cut
  // by late
  // or missing ones. Guards against a counter jammed by calls that it cannot take, whatever makes
  // it slow
  // or the calls many. It may hurt where chance failures are common: fewer tries are asked than
  // could be.
  private void regulate(CounterReply e) {
    double took = (double) e.latencyMicros() / Math.max(1, settings.counter().timeoutMicros());
    // A prompt end without a total, as by an answer that cannot be read, is no sign of a crowd. May
    // miss
    // one that breaks connections rather than keep them waiting, until none can be made.
    boolean unread = e.result() == CallResult.TIMEOUT && took <= TARDY;
    if (!unread && (e.result() != CallResult.OK || took > TARDY)) {
      ramping = false;
      crowdedAt = now;
      pace = Math.max(LEAST_PACE, pace * PACE_CUT);
      // A call turned away is a prompt answer too: it costs the counter nothing, and widens no gap.
      double longer = e.result() == CallResult.SHED ? gap : Math.max(gap, between) / GAP_EASE;
      gap =
          (long)
              Math.min(
                  1e6 * settings.instanceCount() / LEAST_CALLS,
                  Math.max(longer, SILENT_WAITS * settings.counter().timeoutMicros()));
    } else if (took <= PROMPT) {
      gap = ramping ? 0 : (long) (gap * GAP_EASE);
      pace = Math.min(1, pace + (ramping ? pace : PACE_STEP + PACE_GROWTH * pace));
    }
    if (e.result() == CallResult.OK || e.result() == CallResult.SHED || unread) {
      silences = 0;
      heardAt = now;
    } else if (++silences >= SILENCES) {
      ramping = true;
    }
  }

  // Whether totals heard, or this gatekeeper's own sends, prove the quota used up: counts only grow
  // within
  // a window, so the answer is known. It may hurt for up to a window after peers took back adds.
  private boolean proven(Share share, Held q) {
    Pair pair = share.pair;
    double previous = Math.max(pair.previous.total, pair.previous.sent);
    double current = Math.max(pair.current.total, pair.current.sent);
    return switch (pair.kind) {
      case RATE ->
          pair.levelBound(now) < share.units && pair.estimate(previous, current, now) >= pair.limit;
      case OPEN -> current >= openLimit(pair, q);
      case CEILING -> pair.estimate(pair.previous.sent, pair.current.sent, now) >= pair.limit;
    };
  }

  // A cap on open attempts is held as a rate (Little's law): as many may start in a mean attempt's
  // time as
  // may be out, less the spread of what is out by chance. One call a try, and nothing to leak.
  private double openLimit(Pair pair, Held q) {
    double cap = pair.limit * (1 - 1 / Math.sqrt(pair.limit + 1));
    return Math.max(1, cap) * Math.max(1, now % pair.window / q.type.latency);
  }

  /**
   * Notes a try; returns how high this gatekeeper's demand for its customer was, against an even
   * part.
   */
  private int demand(Share share, Held q) {
    Pair pair = share.pair;
    double limit = pair.limit * (pair.kind == Kind.OPEN ? pair.window / q.type.latency : 1);
    double known = pair.demand * Math.exp(-(now - pair.demandAt) / (DEMAND_WINDOWS * pair.window));
    pair.demand = known + share.units;
    pair.demandAt = now;
    double part = known * q.request.customerInstanceCount() / (limit * DEMAND_WINDOWS);
    return (int) Math.max(0, Math.min(LEVELS - 1, 3 + Math.floor(Math.log(part) / Math.log(2))));
  }

  /**
   * The chance that a try is beyond its quota: of tries at such demand, and of its customer's of
   * late.
   */
  private double risk(Share share, Held q) {
    double general = risk[q.request.isRetry() ? 1 : 0][share.level];
    double fade = Math.exp(-(now - share.pair.riskAt) / (RISK_WINDOWS * share.pair.window));
    return Double.isNaN(share.pair.risk) ? general : general + (share.pair.risk - general) * fade;
  }

  private void learnRisk(Share share, Held q, boolean over) {
    int repeat = q.request.isRetry() ? 1 : 0;
    double known = risk(share, q);
    share.pair.risk = known + RISK_GAIN * ((over ? 1 : 0) - known);
    share.pair.riskAt = now;
    double gain = Math.max(SLOW_GAIN, 1 / (PRIOR_SAMPLES + ++samples[repeat][share.level]));
    risk[repeat][share.level] += gain * ((over ? 1 : 0) - risk[repeat][share.level]);
  }

  /** What sending a try beyond its quota loses, over what sending one inside it earns. */
  private static double overLoss(Held q) {
    return Math.max(0, q.plan.overQuotaCost() - q.plan.overQuotaValue());
  }

  private void readPrevious(Held q, Pair pair) {
    Tally previous = pair.previous;
    if (!previous.closedRead) {
      if (previous.reading == null) {
        previous.reading = call(previous, 0, 0);
      }
      previous.reading.waiters.add(q);
      q.waiting++;
    }
  }

  /**
   * The pair of counts that holds this customer's quota of the kind, or null where its plan has
   * none.
   */
  private Pair pair(Held q, Kind kind) {
    Plan plan = q.plan;
    boolean none =
        switch (kind) {
          case RATE -> plan.unitsPerSecond() <= 0;
          case OPEN -> plan.maxConcurrent() <= 0;
          case CEILING -> plan.ceilingUnitsPerSecond() <= 0;
        };
    if (none) {
      return null;
    }
    String prefix = "roc".charAt(kind.ordinal()) + q.request.customer() + ".";
    forgetUnused();
    Pair pair =
        pairs.computeIfAbsent(
            prefix,
            p ->
                switch (kind) {
                  case RATE -> pair(kind, p, plan.burstUnits(), plan.unitsPerSecond());
                  case CEILING ->
                      pair(kind, p, plan.ceilingBurstUnits(), plan.ceilingUnitsPerSecond());
                  case OPEN ->
                      new Pair(kind, p, Math.min(LONGEST_WINDOW, longestAim), plan.maxConcurrent());
                });
    pair.roll(now, tallies);
    return pair;
  }

  // Forgets customers without a try for so long that nothing known of them counts for much. Guards
  // against
  // a table that grows with each customer ever seen. May forget the risk of one that asks in rare
  // bursts.
  private void forgetUnused() {
    Iterator<Pair> oldest = pairs.values().iterator();
    for (int i = 0; i < 2 && oldest.hasNext(); i++) {
      Pair pair = oldest.next();
      if (now - pair.demandAt < REMEMBERED * pair.window) {
        return;
      }
      oldest.remove();
      tallies.remove(pair.current.name);
      tallies.remove(pair.previous.name);
    }
  }

  private static Pair pair(Kind kind, String prefix, double store, double rate) {
    double seconds = Math.min(LONGEST_WINDOW / 1e6, store > 0 ? store / rate : 1);
    return new Pair(kind, prefix, Math.max(1, (long) (seconds * 1e6)), rate * seconds);
  }

  /** Adds to a count, with all that is owed to it. */
  private Call call(Tally tally, double amount, double units) {
    Call call = new Call(tally, amount + tally.owed, units, new ArrayList<>(1));
    tally.owed = 0;
    calls.computeIfAbsent(tally.name, n -> new ArrayDeque<>(2)).add(call);
    actions.add(new AddToCounter(tally.name, call.amount, 2 * tally.pair.window));
    return call;
  }

  private void counted(CounterReply e) {
    ArrayDeque<Call> line = calls.get(e.counterName());
    Call call = line == null ? null : line.poll();
    if (call == null) {
      return;
    }
    if (line.isEmpty()) {
      calls.remove(e.counterName());
    }
    Tally tally = call.tally;
    boolean reading = tally.reading == call;
    regulate(e);
    if (reading) {
      tally.reading = null;
    }
    boolean ok = e.result() == CallResult.OK && Double.isFinite(e.total());
    if (ok) {
      tally.closedRead |= reading;
      learn(call, e.total());
    } else if (!e.result().mayHaveTakenEffect) {
      owe(tally, call.amount); // Surely not added: it goes with a later call.
    }
    for (Held q : call.waiters) {
      Share share = q.shares.get(tally.pair.kind);
      if (ok && share.tally == tally && Double.isNaN(share.before)) {
        share.before = tally.total - call.units;
        Pair pair = tally.pair;
        if (pair.kind == Kind.RATE && tally == pair.current && !Double.isNaN(pair.level)) {
          pair.replay(share.before, pair.previous.total, now);
        }
      }
      answered(q);
    }
  }

  // Takes in a total. Guards against a flush, an emptied or a moved counter: what is missing of
  // this
  // gatekeeper's own adds is put back. May hurt if a peer withdraws more than it added; none does.
  private void learn(Call call, double total) {
    Tally tally = call.tally;
    tally.added += call.amount;
    double lost = Math.min(tally.added, tally.added - total);
    if (lost > LOST) {
      tally.added -= lost;
      tally.owed += lost;
      call(tally, 0, 0);
    }
    tally.heard = true;
    tally.total = total + Math.max(0, lost);
  }

  // Notes what is to be added to a count; it goes with the name's next call, or alone after a
  // while: at
  // once where hardly any call is to be expected in that while. Guards against withdrawals that
  // keep a
  // customer's count too high for nothing when it comes through many gatekeepers. May cost calls
  // where
  // demand just begins.
  private void owe(Tally tally, double units) {
    tally.owed += units;
    if (tally.owed == 0 || tally.waking || tally.lapsed(now)) {
      return;
    }
    if (!tight() && tally.pair.demand / DEMAND_WINDOWS * OWED_DELAY < SELDOM) {
      call(tally, 0, 0);
      return;
    }
    tally.waking = true;
    double share = (tight() ? OWED_DELAY_CROWDED : OWED_DELAY) * (1 + random.nextDouble());
    actions.add(
        new ScheduleTimer(
            Math.max(1, (long) (share * tally.pair.window)),
            new PolicyTimer.FlushPendingAdds(tally.name)));
  }

  private void payOwed(String name) {
    Tally tally = tallies.get(name);
    if (tally == null) {
      return;
    }
    tally.waking = false;
    if (tally.owed != 0 && !tally.lapsed(now)) {
      if (!crowded() || random.nextDouble() < pace || spare()) {
        asked();
        call(tally, 0, 0);
      } else {
        owe(tally, 0);
      }
    }
  }

  private void answered(Held q) {
    q.waiting--;
    if (q.waiting > 0 || q.decided) {
      return;
    }
    Share rate = q.shares.get(Kind.RATE);
    if (rate != null && !tight() && mayDecide(rate)) {
      readPrevious(q, rate.pair);
    }
    if (q.waiting == 0) {
      decide(q);
    }
  }

  /**
   * Whether the window before can tip the estimate: it holds the limit and a refilled store at
   * most.
   */
  private boolean mayDecide(Share share) {
    Pair pair = share.pair;
    return share.tally == pair.current
        && !Double.isNaN(share.before)
        && pair.estimate(2 * pair.limit, share.before, now) >= pair.limit;
  }

  private void decide(Held q) {
    Share over = null;
    for (Share share : q.shares.values()) {
      if (over(share, q)) {
        over = share;
      }
    }
    if (over == null) {
      q.shares.values().forEach(this::count);
      admit(q);
    } else {
      refuse(q, left(over.pair, q));
    }
  }

  /**
   * Counts a try that goes on and only read; one let in unasked is owed, or stood for by those
   * asked.
   */
  private void count(Share share) {
    if (share.counted > 0) {
      return;
    }
    if (!Double.isNaN(share.before)) {
      share.counted = share.units;
      call(share.tally, share.units, 0);
    } else if (!crowded()) {
      share.counted = share.units;
      owe(share.tally, share.units);
    }
  }

  private long left(Pair pair, Held q) {
    return pair.kind == Kind.OPEN ? (long) q.type.latency : pair.window - now % pair.window;
  }

  private boolean over(Share share, Held q) {
    Pair pair = share.pair;
    if (Double.isNaN(share.before)) {
      return unasked(share, q);
    }
    double previous = share.tally == pair.current ? earlier(share) : pair.current.total;
    boolean over =
        switch (pair.kind) {
          case RATE ->
              pair.estimate(previous, share.before, now) >= pair.limit && !storeHolds(share);
          case OPEN -> share.before >= openLimit(pair, q);
          case CEILING -> previous + share.before + share.units > pair.limit;
        };
    learnRisk(share, q, over);
    return over;
  }

  // The total of the window before. Where a crowd keeps it from being read and nothing else was
  // heard of
  // it, it is taken to be like the present one, drawn to a usual use. Guards against a gatekeeper
  // that
  // meets a customer once in many windows, to which half of each customer's use would not exist.
  // May
  // refuse a customer that has just begun to ask.
  private double earlier(Share share) {
    Pair pair = share.pair;
    if (pair.previous.heard || !tight() || pair.kind != Kind.RATE) {
      return pair.previous.total;
    }
    double part = (double) (now % pair.window) / pair.window;
    double usual = UNHEARD * EXPECTED * pair.limit;
    return Math.max(pair.previous.total, (share.before + usual) / (part + UNHEARD));
  }

  // Whether to refuse without the counter's word. A silent counter, or one that failed by chance,
  // lets in;
  // a crowded one if that earns more in the mean than it costs. A ceiling is held by this
  // gatekeeper's part
  // of its rate: guards its rule under any loss of the counter, and refuses what peers leave
  // unused.
  private boolean unasked(Share share, Held q) {
    Pair pair = share.pair;
    if (pair.kind != Kind.CEILING) {
      return crowded() && !silent() && risk(share, q) * (1 + overLoss(q)) > BREAK_EVEN;
    }
    double part = Math.max(1, q.request.customerInstanceCount());
    pair.level =
        Math.min(
            pair.limit / part,
            (Double.isNaN(pair.level) ? 0 : pair.level)
                + pair.limit * (now - Math.max(pair.levelAt, heardAt)) / pair.window / part);
    pair.levelAt = now;
    boolean full = pair.level < share.units;
    pair.level -= full ? 0 : share.units;
    return full;
  }

  // Whether the store would grant what the estimate refuses: after a burst the estimate stays at
  // the limit
  // while the store fills again. Acts on nothing else. It may let too much in where a peer's sends
  // went
  // uncounted.
  private boolean storeHolds(Share share) {
    Pair pair = share.pair;
    if (share.tally != pair.current) {
      return false;
    }
    pair.replay(share.before, earlier(share), now);
    if (pair.level < share.units) {
      return false;
    }
    pair.level -= share.units;
    pair.levelCurrent += share.units;
    return true;
  }

  /** The weighted estimate of a customer's use in the window that ends now. */
  static double estimate(double previous, double current, long elapsed, long window) {
    return Math.max(0, previous) * (window - elapsed) / window + current;
  }

  /** Takes back what was added for a request that was never sent on. */
  private void release(Held q) {
    for (Share share : q.tries.isEmpty() ? q.shares.values() : List.<Share>of()) {
      if (share.counted > 0) {
        share.tally.total -= share.counted;
        owe(share.tally, -share.counted);
        share.counted = 0;
      }
    }
  }

  private void settle(Held q, double units) {
    Share share = q.shares.get(Kind.RATE);
    if (settings.counter().settlesUnits() && units > 0 && share != null && share.counted > 0) {
      owe(share.tally, units - q.request.units());
    }
  }

  // ---- server choice ----

  private void admit(Held q) {
    q.decided = true;
    q.type.units += SLOW_GAIN * (q.request.units() - q.type.units);
    q.weight = Math.max(0.1, q.request.units() / q.type.units);
    q.rank = gain(q) / q.type.latency;
    enqueue(q);
  }

  // What sending a request earns in the mean; the counter's word, or a well counter, leaves no
  // risk. Orders
  // what waits: guards whatever makes room scarce against its going to tries that are beyond their
  // quota.
  // May hurt cheap plans while room is short for long.
  private double gain(Held q) {
    Share share = q.shares.get(Kind.RATE);
    boolean told = share == null || !crowded() || !Double.isNaN(share.before);
    double loss = told ? 0 : risk(share, q) * (1 + overLoss(q));
    return q.type.info.priorityWeight() * q.plan.priorityWeight() * Math.max(LEAST_GAIN, 1 - loss);
  }

  private void enqueue(Held q) {
    long room = q.aimAt - q.arrived;
    q.startBy = q.arrived + (long) (HOLD * room);
    q.draw = random.nextInt(Integer.MAX_VALUE);
    q.luck = random.nextDouble();
    queue.add(q);
    wakeAt(q.startBy, new PolicyTimer.QueueTimeout(q.request.requestId()));
  }

  /**
   * Sends what waits while a server has room; a second try bound to some servers is stepped over.
   */
  private void dispatch() {
    for (Held q = queue.isEmpty() ? null : queue.first(); q != null; ) {
      ServerState server = choose(q);
      Held next = queue.higher(q);
      if (server == null && q.tries.isEmpty()) {
        return;
      }
      if (server != null) {
        queue.remove(q);
        send(q, server);
      }
      q = next;
    }
  }

  // The best of some servers, or null. A cold one gets its share of an even spread of all sends at
  // most, by
  // chance: its load does not depend on how many gatekeepers there are, or on what each knows of
  // it. Guards
  // against hundreds that each find it idle. May hurt while most servers are cold: little is sent
  // then.
  private ServerState choose(Held q) {
    int count = running.size();
    if (count == 0 || fleetOut + Math.min(1, q.weight) > room(count)) {
      return null;
    }
    // When many look bad the cause is not theirs: then none is left out for its health.
    boolean trust =
        running.stream().filter(s -> s.failures >= FAILURES).count() <= MOST_EJECTED * count;
    int start = q.draw % count;
    ServerState first = running.get(start);
    if (warmth(first) < 1) {
      double share = COLD_PART * warmth(first) / Math.max(1, q.weight);
      if (q.luck < share && mayTake(first, q, trust, count)) {
        return first;
      }
    }
    ServerState best = null;
    double bestScore = Double.MAX_VALUE;
    int size = subset(count);
    int home =
        (int) ((long) settings.instanceIndex() * count / Math.max(1, settings.instanceCount()));
    for (int i = 0; i < Math.min(count, CANDIDATES) && (i < size || best == null); i++) {
      ServerState s = running.get((home + (i < size ? (start + i) % size : i)) % count);
      double score = score(s) * (1 + 0.001 * random.nextDouble());
      if (score < bestScore && warmth(s) >= 1 && mayTake(s, q, trust, count)) {
        bestScore = score;
        best = s;
      }
    }
    return best;
  }

  // Servers that this gatekeeper keeps to (deterministic subsetting): with many gatekeepers each
  // sends too
  // little to know all. Neighbours in number share most of a subset, so all servers are met evenly.
  // Guards
  // against slow, lossy or failing servers that each gatekeeper meets too seldom to tell. May hurt
  // where
  // traffic is uneven among gatekeepers; looks beyond it when none of it may take more.
  private int subset(int count) {
    return Math.min(
        count, Math.max(SUBSET, SHARERS * count / Math.max(1, settings.instanceCount())));
  }

  private boolean mayTake(ServerState s, Held q, boolean trust, int count) {
    boolean ejected = trust && s.failures >= FAILURES && (now < s.ejectedUntil || s.out > 0);
    boolean tried = count > 1 && q.tries.stream().anyMatch(t -> t.server == s);
    double part = 2 * room(count) / count * Math.min(1, fleetLatency / latency(s));
    return !ejected
        && !tried
        && groupAllows(s, q)
        && s.out + Math.min(1, q.weight) <= Math.max(1, part);
  }

  // Attempts that may be out in all: never less than keeps the servers at work, whatever the
  // latency says.
  private double room(int count) {
    return Math.max(room, Math.max(1, count * Math.min(1, LEAST_OUT / settings.instanceCount())));
  }

  // Learns how many attempts may be out from the latency of all servers: what was out, scaled so
  // that the
  // mean answer comes in its part of the aim. Guards against overload from any cause: surges, all
  // servers
  // slow, a shrunk fleet, tries let in unmetered. May hurt when a few slow servers raise the mean.
  private void adapt(double took, double out) {
    fleetLatency += SLOW_GAIN * (took - fleetLatency);
    meanOut += SLOW_GAIN * (out - meanOut);
    if (fleetLatency > LATENCY_TARGET) {
      room = Math.min(room, meanOut * LATENCY_TARGET / fleetLatency);
    } else if (fleetOut >= room * NEAR_FULL) {
      room += room * GROWTH;
    }
  }

  private double score(ServerState s) {
    double latency = latency(s);
    double others = now - s.reportedAt < REPORT_AGE ? s.reported : 0;
    return latency * (1 + s.out + others);
  }

  /** A server's latency as a share of the aim; long waits for an answer count before it comes. */
  private double latency(ServerState s) {
    double known = fleetLatency;
    if (!Double.isNaN(s.latency)) {
      double fade = Math.exp(-(now - s.heardAt) / FADE);
      known = s.latency * fade + fleetLatency * (1 - fade);
    }
    double waited = s.sentAt.isEmpty() ? 0 : (double) (now - s.sentAt.firstKey()) / longestAim;
    return Math.max(1e-3, Math.max(known, waited));
  }

  private void report(ServerState s, Map<String, Double> load) {
    if (load.isEmpty()) {
      return;
    }
    double held =
        Math.max(load.getOrDefault("queue", 0.0), load.getOrDefault("inFlight", 0.0) - s.out);
    s.reported = 0.5 * Math.max(0, held) + load.getOrDefault("utilization", 0.0);
    s.reportedAt = now;
  }

  // ---- health ----

  private void list(EndpointUpdate e) {
    if (e.kind() == EndpointUpdateKind.FAILED) {
      actions.add(
          new ScheduleTimer(
              Math.max(1, settings.rules().watchWithinMicros() / 8),
              new PolicyTimer.RewatchEndpoints()));
      return;
    }
    if (e.kind() != EndpointUpdateKind.CHANGES) {
      servers.values().forEach(s -> s.running = false);
    }
    for (Endpoint server : e.endpoints()) {
      ServerState s = servers.computeIfAbsent(server.id(), id -> new ServerState());
      if (s.info != null && s.info.startedAtMicros() != server.startedAtMicros()) {
        s.failures = 0;
        s.latency = Double.NaN;
      }
      s.info = server;
      s.running = server.state() == EndpointState.RUNNING;
    }
    room = room > 0 ? room : servers.size() * FIRST_OUT / Math.max(1, settings.instanceCount());
    servers.values().removeIf(s -> !s.running && s.sentAt.isEmpty());
    running = servers.values().stream().filter(s -> s.running).toList();
    if (e.kind() == EndpointUpdateKind.CACHED && settings.mustWatchEndpoints()) {
      actions.add(new WatchEndpoints());
    }
  }

  /** The share of its work that a server can do by now, at the least. */
  private double warmth(ServerState s) {
    ServiceRules rules = settings.rules();
    long age = now - s.info.startedAtMicros();
    if (s.info.startedAtMicros() <= 0 || age >= rules.slowStartMicros()) {
      return 1;
    }
    return rules.slowStartInitialRatio()
        + (1 - rules.slowStartInitialRatio()) * Math.max(0, age) / rules.slowStartMicros();
  }

  private void judge(Try t, AttemptCompleted e, ClassState type) {
    ServerState s = t.server;
    double took = (double) e.latencyMicros() / type.info.latencyObjectiveMicros();
    switch (e.result()) {
      case OK -> {
        s.failures = s.ejections = 0;
        learn(s, took);
        type.latency += SLOW_GAIN / 4 * (e.latencyMicros() - type.latency);
        adapt(took, t.outBefore);
      }
      // An error is worth no more than an answer that comes late. Guards against a server that
      // fails
      // fast and, looking quick, draws the traffic. May spare a good one whose requests are at
      // fault.
      case ERROR, TIMEOUT, RESET, CONNECT_FAILED -> {
        learn(s, Math.max(e.result() == CallResult.ERROR ? Math.max(1, took) : took, s.latency));
        s.failures++;
        if (s.failures >= FAILURES) {
          long time = FIRST_EJECTION << Math.min(s.ejections++, 8);
          s.ejectedUntil = now + Math.min(LONGEST_EJECTION, time);
        }
      }
      // A full server is as good as one that answers late.
      case SHED -> adapt(1, t.outBefore);
    }
  }

  private void learn(ServerState s, double took) {
    s.latency = Double.isNaN(s.latency) ? took : s.latency + FAST_GAIN * (took - s.latency);
    s.heardAt = now;
  }

  // ---- attempts ----

  private void send(Held q, ServerState s) {
    if (q.tries.isEmpty()) {
      q.shares.values().forEach(share -> share.tally.sent += share.units);
    }
    fleetOut += q.weight;
    q.tries.add(new Try(s, now, fleetOut));
    q.out++;
    s.out += q.weight;
    s.sentAt.merge(now, 1, Integer::sum);
    actions.add(new StartAttempt(q.request.requestId(), s.info.id(), q.request.deadlineAtMicros()));
    retries = Math.min(RETRY_STORE, retries + RETRY_SHARE);
    wakeAt(
        now + q.type.info.latencyObjectiveMicros(),
        new PolicyTimer.LatencyObjectiveExceeded(q.request.requestId()));
  }

  // An attempt that is out for longer than its aim is late or lost: it no longer fills the room,
  // and its
  // server counts as slow. Guards against lost answers, silent servers and a few that are very
  // slow, which
  // would hold a small room until the clients give up. May hurt where work goes on that long in the
  // whole
  // fleet: then the room falls by the late answers that do come.
  private void overdue(Held q) {
    for (Try t : q.tries) {
      if (t.result == null && now - t.sentAt >= q.type.info.latencyObjectiveMicros()) {
        leave(t, q);
        learn(t.server, Math.max(1, t.server.latency));
      }
    }
  }

  private void leave(Try t, Held q) {
    fleetOut = Math.max(0, fleetOut - (t.overdue ? 0 : q.weight));
    t.overdue = true;
  }

  private void outcome(AttemptCompleted e) {
    Held q = held.get(e.requestId());
    if (q == null || e.attemptIndex() < 0 || e.attemptIndex() >= q.tries.size()) {
      return;
    }
    Try t = q.tries.get(e.attemptIndex());
    if (t.result != null) {
      return;
    }
    t.result = e.result();
    q.out--;
    ServerState s = t.server;
    s.out = Math.max(0, s.out - q.weight);
    leave(t, q);
    s.sentAt.computeIfPresent(t.sentAt, (at, n) -> n == 1 ? null : n - 1);
    judge(t, e, q.type);
    report(s, e.load());
    if (e.result() == CallResult.OK) {
      settle(q, e.settledUnits());
    }
    q.done |= e.isFinal();
    if (q.done) {
      queue.remove(q);
    }
    if (!q.done && q.out == 0) {
      again(q);
    }
    forget(q);
  }

  /** Sends a request again where that is harmless and still of use, else answers it. */
  private void again(Held q) {
    // Work that was turned away draws on the budget too, or a full fleet is hammered.
    boolean free = q.tries.stream().noneMatch(Try::mayHaveRun);
    boolean useful = q.tries.size() < settings.limits().maxAttempts() && now <= q.startBy;
    if (useful && (free || mayRepeat(q)) && retries >= 1) {
      retries--;
      enqueue(q);
    } else {
      refuse(q, (long) q.type.latency);
    }
  }

  private boolean mayRepeat(Held q) {
    return switch (q.type.info.idempotency()) {
      case IDEMPOTENT -> true;
      case DEDUPLICATED ->
          q.tries.stream()
              .filter(Try::mayHaveRun)
              .findFirst()
              .map(
                  t ->
                      t.sentAt + q.type.info.deduplicationWindowMicros()
                          > now + 2 * settings.roundTripMicros())
              .orElse(true);
      case AT_MOST_ONCE -> q.tries.stream().noneMatch(Try::mayHaveRun);
    };
  }

  private boolean groupAllows(ServerState s, Held q) {
    if (q.type.info.idempotency() != Idempotency.DEDUPLICATED) {
      return true;
    }
    if (!mayRepeat(q)) {
      return false;
    }
    for (Try t : q.tries) {
      Endpoint was = t.server.info;
      boolean same =
          switch (q.type.info.deduplicationScope()) {
            case ALL -> true;
            case ZONE -> was.zone().equals(s.info.zone());
            case CELL -> was.cell() == s.info.cell() && was.zone().equals(s.info.zone());
          };
      if (t.mayHaveRun() && !same) {
        return false;
      }
    }
    return true;
  }

  private boolean mayRefuse(Held q) {
    RequestClass type = q.type.info;
    return type.idempotency() == Idempotency.IDEMPOTENT
        || q.tries.stream().noneMatch(Try::mayHaveRun)
        || type.idempotency() == Idempotency.DEDUPLICATED
            && type.deduplicationScope() == DeduplicationScope.ALL;
  }

  // ---- deadlines ----

  private void wakeAt(long at, PolicyTimer timer) {
    actions.add(new ScheduleTimer(Math.max(1, at - now), timer));
  }

  private void wake(PolicyTimer timer) {
    if (timer instanceof PolicyTimer.RewatchEndpoints) {
      actions.add(new WatchEndpoints());
    } else if (timer instanceof PolicyTimer.FlushPendingAdds t) {
      payOwed(t.counterName());
    } else if (timer instanceof PolicyTimer.LatencyObjectiveExceeded t) {
      Held q = held.get(t.requestId());
      if (q != null) {
        overdue(q);
      }
    } else if (timer instanceof PolicyTimer.CounterWaitTimeout t) {
      Held q = undone(t.requestId());
      if (q != null && !q.decided) {
        decide(q);
      }
    } else if (timer instanceof PolicyTimer.QueueTimeout t) {
      Held q = undone(t.requestId());
      boolean late = q != null && now >= q.startBy && queue.remove(q);
      if (late && q.out == 0) {
        refuse(q, (long) q.type.latency);
      }
    } else if (timer instanceof PolicyTimer.AnswerDeadline t) {
      Held q = undone(t.requestId());
      if (q != null) {
        end(q);
      }
    }
  }

  private Held undone(long requestId) {
    Held q = held.get(requestId);
    return q == null || q.done || q.streaming ? null : q;
  }

  private void end(Held q) {
    close(q);
    actions.add(new FailRequest(q.request.requestId()));
    forget(q);
  }

  private void refuse(Held q, long waitMicros) {
    close(q);
    long seconds = Math.max(1, (waitMicros + 999_999) / 1_000_000);
    long id = q.request.requestId();
    actions.add(mayRefuse(q) ? new RejectRequest(id, seconds * 1_000_000) : new FailRequest(id));
    forget(q);
  }

  private void gone(ClientDisconnected e) {
    Held q = held.get(e.requestId());
    if (q == null || q.done) {
      return;
    }
    close(q);
    forget(q);
  }

  // A streamed answer that has begun is the client's: nothing is sent or ended for it any more.
  private void started(ResponseStarted e) {
    Held q = held.get(e.requestId());
    if (q != null) {
      q.streaming = true;
      queue.remove(q);
    }
  }

  private void close(Held q) {
    queue.remove(q);
    q.decided = true;
    q.done = true;
    if (settings.limits().allowsCancellation()) {
      for (int i = 0; i < q.tries.size(); i++) {
        if (q.tries.get(i).result == null) {
          actions.add(new CancelAttempt(q.request.requestId(), i));
        }
      }
    }
  }

  private void forget(Held q) {
    if (q.done && q.out == 0) {
      release(q);
      held.remove(q.request.requestId());
    }
  }
}
