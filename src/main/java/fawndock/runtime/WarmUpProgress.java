package fawndock.runtime;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;

/**
 * Progress of a warm-up: it is complete after enough responses or after its time limit, whichever
 * comes first, and never fails, as a warm-up that does not work out is no reason not to start.
 * Confined to one event loop.
 */
public final class WarmUpProgress {
  private final int targetResponses;
  private final Promise<Void> completed = Promise.promise();
  private int requestCount;
  private int responseCount;
  private int servedCount;

  /** Starts the time limit. */
  public WarmUpProgress(Vertx vertx, int targetResponses, long timeLimitMillis) {
    this.targetResponses = targetResponses;
    vertx.setTimer(timeLimitMillis, id -> complete());
  }

  /** Counts a request that is about to be sent; returns its number, from 1. */
  public int nextRequest() {
    return ++requestCount;
  }

  /**
   * Counts a response.
   *
   * @param isServed whether it is an endpoint's, rather than a rejection or failure
   */
  public void onResponse(boolean isServed) {
    responseCount++;
    servedCount += isServed ? 1 : 0;
    if (responseCount >= targetResponses) {
      complete();
    }
  }

  /** Completes the warm-up now. Idempotent. */
  public void complete() {
    completed.tryComplete();
  }

  /** Returns whether the warm-up is complete. */
  public boolean isComplete() {
    return completed.future().isComplete();
  }

  /** Completes with the warm-up; never fails. */
  public Future<Void> completion() {
    return completed.future();
  }

  /** Returns how many requests were sent. */
  public int requestCount() {
    return requestCount;
  }

  /** Returns how many responses have come. */
  public int responseCount() {
    return responseCount;
  }

  /** Returns how many of the responses were an endpoint's. */
  public int servedCount() {
    return servedCount;
  }
}
