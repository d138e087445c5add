package fawndock.conformance;

import fawndock.conformance.TraceEvent.Answered;
import fawndock.conformance.TraceEvent.Arrived;
import fawndock.conformance.TraceEvent.Asked;
import fawndock.conformance.TraceEvent.Broke;
import fawndock.conformance.TraceEvent.Came;
import fawndock.conformance.TraceEvent.Killed;
import fawndock.conformance.TraceEvent.Left;
import fawndock.conformance.TraceEvent.Ran;
import fawndock.conformance.TraceEvent.Told;
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
  private final Map<String, Asked> asked = new HashMap<>();
  private final Map<String, List<Answered>> answers = new HashMap<>();
  private final Map<String, TraceEvent> ends = new HashMap<>();
  private final Map<String, List<Arrived>> arrivals = new HashMap<>();
  private final Map<String, Integer> effects = new HashMap<>();
  private final Map<Integer, List<Long>> kills = new HashMap<>();
  private final Map<String, TreeMap<Long, Told>> told = new HashMap<>();
  private final List<Came> starts = new ArrayList<>();
  private final Map<String, List<Arrived>> byWorker = new HashMap<>();

  private InvariantChecker(ConformanceLimits figures) {
    this.figures = figures;
  }

  /** Judges a trace. */
  public static ConformanceResult judge(List<TraceEvent> trace, ConformanceLimits figures) {
    InvariantChecker c = new InvariantChecker(figures);
    List<TraceEvent> inOrder = new ArrayList<>(trace);
    inOrder.sort(Comparator.comparingLong(TraceEvent::at));
    inOrder.forEach(c::take);
    int[] unanswered = {0};
    int[] twice = {0};
    int[] repeated = {0};
    c.asked.values().stream()
        .sorted(Comparator.comparingLong(Asked::at))
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
    if (seen instanceof Asked e) {
      asked.put(e.request(), e);
    } else if (seen instanceof Answered e) {
      answers.computeIfAbsent(e.request(), k -> new ArrayList<>()).add(e);
    } else if (seen instanceof Broke e) {
      ends.putIfAbsent(e.request(), e);
    } else if (seen instanceof Left e) {
      ends.putIfAbsent(e.request(), e);
    } else if (seen instanceof Arrived e) {
      arrivals.computeIfAbsent(e.request(), k -> new ArrayList<>()).add(e);
      byWorker.computeIfAbsent(e.worker(), k -> new ArrayList<>()).add(e);
    } else if (seen instanceof Ran e) {
      effects.merge(operation(e.request()), 1, Integer::sum);
    } else if (seen instanceof Told e) {
      told.computeIfAbsent(e.gatekeeper() + " " + e.worker(), k -> new TreeMap<>()).put(e.at(), e);
    } else if (seen instanceof Came e) {
      starts.add(e);
    } else if (seen instanceof Killed e) {
      kills.computeIfAbsent(e.gatekeeper(), k -> new ArrayList<>()).add(e.at());
    }
  }

  /** What a request is a try of: its id without the number of the try. */
  public static String operation(String request) {
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
  private int unanswered(Asked a) {
    List<Answered> all = answers.get(a.request());
    long limit = a.giveUpAt() + figures.rules().answerGraceMicros() + figures.slackMicros();
    if (all != null && all.get(0).at() <= limit) {
      return 0;
    }
    TraceEvent end = ends.get(a.request());
    if (all == null && end instanceof Left && end.at() <= limit) {
      return 0;
    }
    long until = end == null ? Long.MAX_VALUE : end.at() + figures.slackMicros();
    boolean killed =
        kills.getOrDefault(a.gatekeeper(), List.of()).stream()
            .anyMatch(at -> at >= a.at() - figures.slackMicros() && at <= until);
    if (all == null && end instanceof Broke && killed) {
      return 0;
    }
    breach(
        a.request()
            + " ("
            + a.type()
            + ", gatekeeper "
            + a.gatekeeper()
            + ") "
            + (all == null
                ? "had no answer"
                : "was answered " + (all.get(0).at() - a.giveUpAt()) + " us too late"));
    return 1;
  }

  // Rule 1: one answer, and nothing sent on after it.
  private int twice(Asked a) {
    List<Answered> all = answers.getOrDefault(a.request(), List.of());
    if (all.size() > 1) {
      breach(a.request() + " had " + all.size() + " answers");
      return 1;
    }
    long after = all.isEmpty() ? Long.MAX_VALUE : all.get(0).at() + figures.slackMicros();
    if (arrivals.getOrDefault(a.request(), List.of()).stream().anyMatch(e -> e.at() > after)) {
      breach(a.request() + " was sent on after its answer");
      return 1;
    }
    return 0;
  }

  // Rule 2, what may be sent or refused again. What a worker refused did not run.
  private int repeated(Asked a) {
    RequestClass type = figures.classes().get(a.type());
    if (type == null || type.idempotency() == Idempotency.IDEMPOTENT) {
      return 0;
    }
    List<Arrived> all = arrivals.getOrDefault(a.request(), List.of());
    Arrived ran = all.stream().filter(e -> !e.refused()).findFirst().orElse(null);
    if (ran == null) {
      return 0;
    }
    boolean grouped = type.idempotency() == Idempotency.DEDUPLICATED;
    for (Arrived later : all.subList(all.indexOf(ran) + 1, all.size())) {
      if (!grouped
          || later.at() > ran.at() + type.deduplicationWindowMicros() + figures.slackMicros()
          || type.deduplicationScope() != DeduplicationScope.ALL
              && !later.worker().equals(ran.worker())) {
        breach(a.request() + " (" + a.type() + ") was sent again to " + later.worker());
        return 1;
      }
    }
    boolean refused =
        answers.getOrDefault(a.request(), List.of()).stream().anyMatch(e -> e.status() == 429);
    if (refused && !(grouped && type.deduplicationScope() == DeduplicationScope.ALL)) {
      breach(a.request() + " (" + a.type() + ") was refused after it may have run");
      return 1;
    }
    return 0;
  }

  private int effectsTwice() {
    int twice = 0;
    Set<String> judged = new HashSet<>();
    for (Asked a : asked.values()) {
      RequestClass type = figures.classes().get(a.type());
      String operation = operation(a.request());
      if (type != null
          && type.idempotency() != Idempotency.IDEMPOTENT
          && effects.getOrDefault(operation, 0) > 1
          && judged.add(operation)) {
        breach(
            operation + " (" + a.type() + ") had its effect " + effects.get(operation) + " times");
        twice++;
      }
    }
    return twice;
  }

  // Rule 3: nothing new later than the grace after this gatekeeper was told.
  private int lateDrains() {
    int late = 0;
    long grace = figures.rules().drainGraceMicros() + figures.slackMicros();
    for (Map.Entry<String, List<Arrived>> each : arrivals.entrySet()) {
      Asked a = asked.get(each.getKey());
      for (Arrived e : a == null ? List.<Arrived>of() : each.getValue()) {
        TreeMap<Long, Told> heard = told.get(a.gatekeeper() + " " + e.worker());
        Map.Entry<Long, Told> last = heard == null ? null : heard.floorEntry(e.at());
        if (last == null || last.getValue().state().equals("running")) {
          continue;
        }
        long since = last.getKey();
        for (Told t : heard.headMap(since, true).descendingMap().values()) {
          if (t.state().equals("running")) {
            break;
          }
          since = t.at();
        }
        if (e.at() > since + grace) {
          breach(
              e.request()
                  + " reached "
                  + e.worker()
                  + " "
                  + (e.at() - since)
                  + " us after gatekeeper "
                  + a.gatekeeper()
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
    for (Came start : starts) {
      if (!start.cold()) {
        continue;
      }
      ArrayDeque<Arrived> window = new ArrayDeque<>();
      for (Arrived e : byWorker.getOrDefault(start.worker(), List.of())) {
        long age = e.at() - start.at();
        if (e.life() != start.life() || age < 0 || age >= rules.slowStartMicros()) {
          continue;
        }
        window.add(e);
        while (window.peek().at() < e.at() - rules.slowStartOverloadWindowMicros()) {
          window.poll();
        }
        double warmth =
            rules.slowStartInitialRatio()
                + (1 - rules.slowStartInitialRatio()) * age / rules.slowStartMicros();
        double may =
            rules.slowStartOverloadRatio()
                * warmth
                * start.perSecond()
                * rules.slowStartOverloadWindowMicros()
                / 1e6;
        long knew = window.stream().filter(w -> knewOf(w, start)).count();
        if (window.size() > may + 3 * Math.sqrt(may) && knew * 3 >= window.size() * 2) {
          breach(
              start.worker()
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

  private boolean knewOf(Arrived e, Came start) {
    Asked a = asked.get(e.request());
    TreeMap<Long, Told> heard = a == null ? null : told.get(a.gatekeeper() + " " + e.worker());
    return heard != null
        && heard.headMap(e.at(), true).values().stream()
            .anyMatch(t -> t.startedAt() >= start.at() - figures.slackMicros());
  }

  // Rule 5: each first attempt takes its units from the customer's second store.
  private int ceilings() {
    record Taken(long at, double units) {}
    Map<String, List<Taken>> byCustomer = new HashMap<>();
    asked
        .values()
        .forEach(
            a -> {
              List<Arrived> all = arrivals.get(a.request());
              if (all != null) {
                byCustomer
                    .computeIfAbsent(a.customer(), k -> new ArrayList<>())
                    .add(new Taken(all.get(0).at(), a.units()));
              }
            });
    int passed = 0;
    for (Map.Entry<String, List<Taken>> each : byCustomer.entrySet()) {
      Plan plan = figures.plans().get(each.getKey());
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
