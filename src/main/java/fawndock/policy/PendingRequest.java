package fawndock.policy;

import fawndock.policy.config.Plan;
import fawndock.policy.event.RequestArrived;
import fawndock.policy.quota.QuotaCharge;
import fawndock.policy.quota.QuotaKind;
import java.util.ArrayList;
import java.util.Collection;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;

/** A request without its final answer, or with attempts still in flight. */
public final class PendingRequest {
  private final RequestArrived request;
  private final RequestClassState requestClass;
  private final Plan plan;
  private final long arrivedAtMicros;
  private final long latencyObjectiveAtMicros;
  private final Map<QuotaKind, QuotaCharge> charges = new EnumMap<>(QuotaKind.class);
  private final List<Attempt> attempts = new ArrayList<>(1);
  private int pendingCounterCalls;
  private int inFlightAttempts;
  private boolean isQuotaDecided;
  private boolean isDone;
  private boolean isStreaming;
  private double weight;
  private double rank;
  private long queueTimeoutAtMicros;
  private int endpointDraw;
  private double slowStartDraw;

  PendingRequest(
      RequestArrived request, RequestClassState requestClass, Plan plan, long nowMicros) {
    this.request = request;
    this.requestClass = requestClass;
    this.plan = plan;
    this.arrivedAtMicros = nowMicros;
    this.latencyObjectiveAtMicros =
        Math.min(
            nowMicros + requestClass.config().latencyObjectiveMicros(), request.deadlineAtMicros());
  }

  /** The request's number. */
  public long id() {
    return request.requestId();
  }

  /** The request as it arrived. */
  public RequestArrived request() {
    return request;
  }

  /** The request's class. */
  public RequestClassState requestClass() {
    return requestClass;
  }

  /** The customer's plan. */
  public Plan plan() {
    return plan;
  }

  /** When it arrived, in microseconds. */
  public long arrivedAtMicros() {
    return arrivedAtMicros;
  }

  /** When its answer is due by the class's latency objective, in microseconds. */
  public long latencyObjectiveAtMicros() {
    return latencyObjectiveAtMicros;
  }

  /** What it is charged for, in the order of the kinds. */
  public Collection<QuotaCharge> charges() {
    return charges.values();
  }

  /** Its charge for one kind of quota, or null. */
  public QuotaCharge charge(QuotaKind kind) {
    return charges.get(kind);
  }

  /** Adds a charge for a kind of quota. */
  public void putCharge(QuotaKind kind, QuotaCharge charge) {
    charges.put(kind, charge);
  }

  /** Its attempts in the order sent. */
  public List<Attempt> attempts() {
    return attempts;
  }

  /** Its attempt of this index, or null where there is none. */
  Attempt attempt(int index) {
    return index >= 0 && index < attempts.size() ? attempts.get(index) : null;
  }

  /** How many counter calls it waits for. */
  public int pendingCounterCalls() {
    return pendingCounterCalls;
  }

  /** It waits for one counter call more. */
  public void onCounterCallStarted() {
    pendingCounterCalls++;
  }

  /** One of the counter calls that it waits for has ended. */
  public void onCounterCallCompleted() {
    pendingCounterCalls--;
  }

  /** Whether the verdict on its quota is given, or no longer needed. */
  public boolean isQuotaDecided() {
    return isQuotaDecided;
  }

  /** The verdict on its quota is given, or no longer needed. */
  public void markQuotaDecided() {
    isQuotaDecided = true;
  }

  /** How many of its attempts have not ended. */
  public int inFlightAttempts() {
    return inFlightAttempts;
  }

  /** Adds an attempt that is in flight from now on. */
  public void addAttempt(Attempt attempt) {
    attempts.add(attempt);
    inFlightAttempts++;
  }

  /** One of its attempts has ended. */
  public void onAttemptCompleted() {
    inFlightAttempts--;
  }

  /** Whether it has its final answer. */
  public boolean isDone() {
    return isDone;
  }

  void markDone() {
    isDone = true;
  }

  /** Whether its streamed answer has begun: nothing more is sent or answered for it. */
  public boolean isStreaming() {
    return isStreaming;
  }

  void markStreaming() {
    isStreaming = true;
  }

  /** Its cost, 1 being the mean of its class. */
  public double weight() {
    return weight;
  }

  /** Its place in the queue: the higher goes first. */
  public double rank() {
    return rank;
  }

  void setPriority(double requestWeight, double queueRank) {
    weight = requestWeight;
    rank = queueRank;
  }

  /** When it stops waiting for an endpoint, in microseconds. */
  public long queueTimeoutAtMicros() {
    return queueTimeoutAtMicros;
  }

  /** Random number of 0 or more that says at which endpoint the search begins. */
  public int endpointDraw() {
    return endpointDraw;
  }

  /** Random number from 0 to 1 that says whether an endpoint in slow start may take it. */
  public double slowStartDraw() {
    return slowStartDraw;
  }

  void setQueueing(long timeoutAtMicros, int endpointRandom, double slowStartRandom) {
    queueTimeoutAtMicros = timeoutAtMicros;
    endpointDraw = endpointRandom;
    slowStartDraw = slowStartRandom;
  }
}
