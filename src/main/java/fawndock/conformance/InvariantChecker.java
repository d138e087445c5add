package fawndock.conformance;

import fawndock.conformance.TraceEvent.AttemptArrived;
import fawndock.conformance.TraceEvent.ClientDisconnected;
import fawndock.conformance.TraceEvent.ConnectionLost;
import fawndock.conformance.TraceEvent.EffectApplied;
import fawndock.conformance.TraceEvent.EndpointAnnounced;
import fawndock.conformance.TraceEvent.EndpointStarted;
import fawndock.conformance.TraceEvent.GatewayKilled;
import fawndock.conformance.TraceEvent.RequestSent;
import fawndock.conformance.TraceEvent.ResponseReceived;
import fawndock.policy.config.DeduplicationScope;
import fawndock.policy.config.Idempotency;
import fawndock.policy.config.Plan;
import fawndock.policy.config.RequestClass;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Judges the five rules by what crossed the sockets. A request's id is {@code OPERATION.TRY}: a
 * client that tries again keeps the operation, so an effect that two tries had is one effect twice.
 */
public final class InvariantChecker {
  private static final int MOST_TOLD = 20;
  private final ConformanceLimits figures;
  private final List<String> breaches = new ArrayList<>();
  private final Map<String, RequestSent> asked = new HashMap<>();
  private final Map<String, List<ResponseReceived>> answers = new HashMap<>();
  private final Map<String, TraceEvent> ends = new HashMap<>();
  private final Map<String, List<AttemptArrived>> arrivals = new HashMap<>();
  private final Map<String, Integer> effects = new HashMap<>();
  private final Map<Integer, List<Long>> kills = new HashMap<>();
  private final Map<String, TreeMap<Long, EndpointAnnounced>> told = new HashMap<>();
  private final List<EndpointStarted> starts = new ArrayList<>();
  private final Map<String, List<AttemptArrived>> byWorker = new HashMap<>();

  private InvariantChecker(ConformanceLimits figures) {
    this.figures = figures;
  }

  /** Judges a trace. */
  public static ConformanceResult check(List<TraceEvent> trace, ConformanceLimits figures) {
    InvariantChecker c = new InvariantChecker(figures);
    List<TraceEvent> inOrder = new ArrayList<>(trace);
    inOrder.sort(Comparator.comparingLong(TraceEvent::atMicros));
    inOrder.forEach(c::take);
    int[] unanswered = {0};
    int[] twice = {0};
    int[] repeated = {0};
    c.asked.values().stream()
        .sorted(Comparator.comparingLong(RequestSent::atMicros))
        .forEach(
            a -> {
              unanswered[0] += c.unanswered(a);
              twice[0] += c.twice(a);
              repeated[0] += c.repeated(a);
            });
    repeated[0] += c.effectsTwice();
    return new ConformanceResult(
        c.asked.size(),
        unanswered[0],
        twice[0],
        c.lateDrains(),
        repeated[0],
        c.coldFalls(),
        c.ceilings(),
        List.copyOf(c.breaches));
  }

  private void take(TraceEvent seen) {
    if (seen instanceof RequestSent e) {
      asked.put(e.requestId(), e);
    } else if (seen instanceof ResponseReceived e) {
      answers.computeIfAbsent(e.requestId(), k -> new ArrayList<>()).add(e);
    } else if (seen instanceof ConnectionLost e) {
      ends.putIfAbsent(e.requestId(), e);
    } else if (seen instanceof ClientDisconnected e) {
      ends.putIfAbsent(e.requestId(), e);
    } else if (seen instanceof AttemptArrived e) {
      arrivals.computeIfAbsent(e.requestId(), k -> new ArrayList<>()).add(e);
      byWorker.computeIfAbsent(e.endpointId(), k -> new ArrayList<>()).add(e);
    } else if (seen instanceof EffectApplied e) {
      effects.merge(operationOf(e.requestId()), 1, Integer::sum);
    } else if (seen instanceof EndpointAnnounced e) {
      told.computeIfAbsent(e.gatewayIndex() + " " + e.endpointId(), k -> new TreeMap<>())
          .put(e.atMicros(), e);
    } else if (seen instanceof EndpointStarted e) {
      starts.add(e);
    } else if (seen instanceof GatewayKilled e) {
      kills.computeIfAbsent(e.gatewayIndex(), k -> new ArrayList<>()).add(e.atMicros());
    }
  }

  /** What a request is a try of: its id without the number of the try. */
  public static String operationOf(String request) {
    int dot = request.lastIndexOf('.');
    return dot < 0 ? request : request.substring(0, dot);
  }

  private void breach(String text) {
    if (breaches.size() < MOST_TOLD) {
      breaches.add(text);
    }
  }

  // Rule 1: an answer before the client gives up, unless it left or its gatekeeper was killed under
  // it.
  private int unanswered(RequestSent a) {
    List<ResponseReceived> all = answers.get(a.requestId());
    long limit =
        a.deadlineAtMicros() + figures.rules().answerGraceMicros() + figures.toleranceMicros();
    if (all != null && all.get(0).atMicros() <= limit) {
      return 0;
    }
    TraceEvent end = ends.get(a.requestId());
    if (all == null && end instanceof ClientDisconnected && end.atMicros() <= limit) {
      return 0;
    }
    long until = end == null ? Long.MAX_VALUE : end.atMicros() + figures.toleranceMicros();
    boolean killed =
        kills.getOrDefault(a.gatewayIndex(), List.of()).stream()
            .anyMatch(at -> at >= a.atMicros() - figures.toleranceMicros() && at <= until);
    if (all == null && end instanceof ConnectionLost && killed) {
      return 0;
    }
    breach(
        a.requestId()
            + " ("
            + a.requestClass()
            + ", gatekeeper "
            + a.gatewayIndex()
            + ") "
            + (all == null
                ? "had no answer"
                : "was answered "
                    + (all.get(0).atMicros() - a.deadlineAtMicros())
                    + " us too late"));
    return 1;
  }

  // Rule 1: one answer, and nothing sent on after it.
  private int twice(RequestSent a) {
    List<ResponseReceived> all = answers.getOrDefault(a.requestId(), List.of());
    if (all.size() > 1) {
      breach(a.requestId() + " had " + all.size() + " answers");
      return 1;
    }
    long after = all.isEmpty() ? Long.MAX_VALUE : all.get(0).atMicros() + figures.toleranceMicros();
    if (arrivals.getOrDefault(a.requestId(), List.of()).stream()
        .anyMatch(e -> e.atMicros() > after)) {
      breach(a.requestId() + " was sent on after its answer");
      return 1;
    }
    return 0;
  }

  // Rule 2, what may be sent or refused again. What a worker refused did not run.
  private int repeated(RequestSent a) {
    RequestClass type = figures.requestClasses().get(a.requestClass());
    if (type == null || type.idempotency() == Idempotency.IDEMPOTENT) {
      return 0;
    }
    List<AttemptArrived> all = arrivals.getOrDefault(a.requestId(), List.of());
    AttemptArrived ran = all.stream().filter(e -> !e.isRejected()).findFirst().orElse(null);
    if (ran == null) {
      return 0;
    }
    boolean grouped = type.idempotency() == Idempotency.DEDUPLICATED;
    for (AttemptArrived later : all.subList(all.indexOf(ran) + 1, all.size())) {
      if (!grouped
          || later.atMicros()
              > ran.atMicros() + type.deduplicationWindowMicros() + figures.toleranceMicros()
          || type.deduplicationScope() != DeduplicationScope.ALL
              && !later.endpointId().equals(ran.endpointId())) {
        breach(
            a.requestId() + " (" + a.requestClass() + ") was sent again to " + later.endpointId());
        return 1;
      }
    }
    boolean refused =
        answers.getOrDefault(a.requestId(), List.of()).stream().anyMatch(e -> e.status() == 429);
    if (refused && !(grouped && type.deduplicationScope() == DeduplicationScope.ALL)) {
      breach(a.requestId() + " (" + a.requestClass() + ") was refused after it may have run");
      return 1;
    }
    return 0;
  }

  private int effectsTwice() {
    int twice = 0;
    Set<String> judged = new HashSet<>();
    for (RequestSent a : asked.values()) {
      RequestClass type = figures.requestClasses().get(a.requestClass());
      String operation = operationOf(a.requestId());
      if (type != null
          && type.idempotency() != Idempotency.IDEMPOTENT
          && effects.getOrDefault(operation, 0) > 1
          && judged.add(operation)) {
        breach(
            operation
                + " ("
                + a.requestClass()
                + ") had its effect "
                + effects.get(operation)
                + " times");
        twice++;
      }
    }
    return twice;
  }

  // Rule 3: nothing new later than the grace after this gatekeeper was told.
  private int lateDrains() {
    int late = 0;
    long grace = figures.rules().drainGraceMicros() + figures.toleranceMicros();
    for (Map.Entry<String, List<AttemptArrived>> each : arrivals.entrySet()) {
      RequestSent a = asked.get(each.getKey());
      for (AttemptArrived e : a == null ? List.<AttemptArrived>of() : each.getValue()) {
        TreeMap<Long, EndpointAnnounced> heard = told.get(a.gatewayIndex() + " " + e.endpointId());
        Map.Entry<Long, EndpointAnnounced> last =
            heard == null ? null : heard.floorEntry(e.atMicros());
        if (last == null || last.getValue().state().equals("running")) {
          continue;
        }
        long since = last.getKey();
        for (EndpointAnnounced t : heard.headMap(since, true).descendingMap().values()) {
          if (t.state().equals("running")) {
            break;
          }
          since = t.atMicros();
        }
        if (e.atMicros() > since + grace) {
          breach(
              e.requestId()
                  + " reached "
                  + e.endpointId()
                  + " "
                  + (e.atMicros() - since)
                  + " us after gatekeeper "
                  + a.gatewayIndex()
                  + " was told that it goes");
          late++;
        }
      }
    }
    return late;
  }

  // Rule 4: in no window of the stated length does a cold worker get more than the stated multiple
  // of what it can
  // do, two thirds of it from gatekeepers that were told of its start. The window's end counts for
  // its warmth.
  private int coldFalls() {
    int falls = 0;
    var rules = figures.rules();
    for (EndpointStarted start : starts) {
      if (!start.isWarmingUp()) {
        continue;
      }
      ArrayDeque<AttemptArrived> window = new ArrayDeque<>();
      for (AttemptArrived e : byWorker.getOrDefault(start.endpointId(), List.of())) {
        long age = e.atMicros() - start.atMicros();
        if (e.incarnation() != start.incarnation() || age < 0 || age >= rules.slowStartMicros()) {
          continue;
        }
        window.add(e);
        while (window.peek().atMicros() < e.atMicros() - rules.slowStartOverloadWindowMicros()) {
          window.poll();
        }
        double warmth =
            rules.slowStartInitialRatio()
                + (1 - rules.slowStartInitialRatio()) * age / rules.slowStartMicros();
        double may =
            rules.slowStartOverloadRatio()
                * warmth
                * start.attemptsPerSecond()
                * rules.slowStartOverloadWindowMicros()
                / 1e6;
        long knew = window.stream().filter(w -> knewOf(w, start)).count();
        if (window.size() > may + 3 * Math.sqrt(may) && knew * 3 >= window.size() * 2) {
          breach(
              start.endpointId()
                  + " got "
                  + window.size()
                  + " in a window that allows "
                  + Math.round(may)
                  + ", "
                  + age
                  + " us after its cold start");
          falls++;
          break;
        }
      }
    }
    return falls;
  }

  private boolean knewOf(AttemptArrived e, EndpointStarted start) {
    RequestSent a = asked.get(e.requestId());
    TreeMap<Long, EndpointAnnounced> heard =
        a == null ? null : told.get(a.gatewayIndex() + " " + e.endpointId());
    return heard != null
        && heard.headMap(e.atMicros(), true).values().stream()
            .anyMatch(t -> t.startedAtMicros() >= start.atMicros() - figures.toleranceMicros());
  }

  // Rule 5: each first attempt takes its units from the customer's second store.
  private int ceilings() {
    record Taken(long at, double units) {}
    Map<String, List<Taken>> byCustomer = new HashMap<>();
    asked
        .values()
        .forEach(
            a -> {
              List<AttemptArrived> all = arrivals.get(a.requestId());
              if (all != null) {
                byCustomer
                    .computeIfAbsent(a.customer(), k -> new ArrayList<>())
                    .add(new Taken(all.get(0).atMicros(), a.units()));
              }
            });
    int passed = 0;
    for (Map.Entry<String, List<Taken>> each : byCustomer.entrySet()) {
      Plan plan = figures.customerPlans().get(each.getKey());
      if (plan == null || plan.ceilingUnitsPerSecond() <= 0) {
        continue;
      }
      each.getValue().sort(Comparator.comparingLong(Taken::at));
      double level = plan.ceilingBurstUnits();
      long at = 0;
      for (Taken t : each.getValue()) {
        level =
            Math.min(
                    plan.ceilingBurstUnits(),
                    level + (at == 0 ? 0 : (t.at() - at) / 1e6 * plan.ceilingUnitsPerSecond()))
                - t.units();
        at = t.at();
        if (level < -plan.ceilingToleranceUnits() - 1e-6) {
          breach(
              each.getKey()
                  + " passed its ceiling by "
                  + Math.round(-level - plan.ceilingToleranceUnits()));
          passed++;
        }
      }
    }
    return passed;
  }
}
