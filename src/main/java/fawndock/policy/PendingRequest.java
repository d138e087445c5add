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

/**
 * A request that has not received its final response, or that still has attempts in flight. Not
 * thread-safe.
 */
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

  /** Returns the id of the request at this instance. */
  public long id() {
    return request.requestId();
  }

  /** Returns the event with which the request arrived. */
  public RequestArrived request() {
    return request;
  }

  /** Returns the class of the request. */
  public RequestClassState requestClass() {
    return requestClass;
  }

  /** Returns the plan of the customer. */
  public Plan plan() {
    return plan;
  }

  /** Returns when the request arrived, in microseconds. */
  public long arrivedAtMicros() {
    return arrivedAtMicros;
  }

  /**
   * Returns when the response is due by the latency objective of the class, in microseconds. This
   * is never later than the client's deadline.
   */
  public long latencyObjectiveAtMicros() {
    return latencyObjectiveAtMicros;
  }

  /** Returns the charges against the customer's quotas, in the order of {@link QuotaKind}. */
  public Collection<QuotaCharge> charges() {
    return charges.values();
  }

  /** Returns the charge against one kind of quota, or null if there is none. */
  public QuotaCharge charge(QuotaKind kind) {
    return charges.get(kind);
  }

  /** Sets the charge against one kind of quota. */
  public void putCharge(QuotaKind kind, QuotaCharge charge) {
    charges.put(kind, charge);
  }

  /** Returns the attempts in the order in which they were sent. */
  public List<Attempt> attempts() {
    return attempts;
  }

  /** Returns the attempt with this index, or null if there is none. */
  Attempt attempt(int index) {
    return index >= 0 && index < attempts.size() ? attempts.get(index) : null;
  }

  /** Returns the number of counter calls that the request waits for. */
  public int pendingCounterCalls() {
    return pendingCounterCalls;
  }

  /** Records that the request waits for one more counter call. */
  public void onCounterCallStarted() {
    pendingCounterCalls++;
  }

  /** Records that one of the counter calls that the request waits for has completed. */
  public void onCounterCallCompleted() {
    pendingCounterCalls--;
  }

  /** Returns whether the quota verdict has been given or is no longer needed. */
  public boolean isQuotaDecided() {
    return isQuotaDecided;
  }

  /** Records that the quota verdict has been given or is no longer needed. */
  public void markQuotaDecided() {
    isQuotaDecided = true;
  }

  /** Returns the number of attempts that have not completed. */
  public int inFlightAttempts() {
    return inFlightAttempts;
  }

  /** Adds an attempt and counts it as in flight. */
  public void addAttempt(Attempt attempt) {
    attempts.add(attempt);
    inFlightAttempts++;
  }

  /** Records that one of the attempts has completed. */
  public void onAttemptCompleted() {
    inFlightAttempts--;
  }

  /** Returns whether the request has its final response, or no longer needs one. */
  public boolean isDone() {
    return isDone;
  }

  void markDone() {
    isDone = true;
  }

  /**
   * Returns whether a streamed response has started. No further attempt or response is then sent
   * for the request.
   */
  public boolean isStreaming() {
    return isStreaming;
  }

  void markStreaming() {
    isStreaming = true;
  }

  /** Returns the cost of the request relative to the mean of its class. */
  public double weight() {
    return weight;
  }

  /** Returns the rank in the queue. Requests with a higher rank are sent first. */
  public double rank() {
    return rank;
  }

  void setPriority(double requestWeight, double queueRank) {
    weight = requestWeight;
    rank = queueRank;
  }

  /** Returns when the request stops waiting for an endpoint, in microseconds. */
  public long queueTimeoutAtMicros() {
    return queueTimeoutAtMicros;
  }

  /** Returns the non-negative random number that determines at which endpoint the search starts. */
  public int endpointDraw() {
    return endpointDraw;
  }

  /**
   * Returns the random number from 0 to 1 that determines whether an endpoint in slow start may
   * take the request.
   */
  public double slowStartDraw() {
    return slowStartDraw;
  }

  void setQueueing(long timeoutAtMicros, int endpointRandom, double slowStartRandom) {
    queueTimeoutAtMicros = timeoutAtMicros;
    endpointDraw = endpointRandom;
    slowStartDraw = slowStartRandom;
  }
}
