package fawndock.runtime;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;

/**
 * Progress of a warm-up. The warm-up completes after enough responses or at its time limit,
 * whichever comes first. It never fails, because an unsuccessful warm-up must not prevent the
 * start. Confined to one event loop.
 */
public final class WarmUpProgress {
  private final int targetResponses;
  private final Promise<Void> completed = Promise.promise();
  private int requestCount;
  private int responseCount;
  private int servedCount;

  /** Creates the progress of a warm-up whose time limit starts now. */
  public WarmUpProgress(Vertx vertx, int targetResponses, long timeLimitMillis) {
    this.targetResponses = targetResponses;
    vertx.setTimer(timeLimitMillis, id -> complete());
  }

  /** Counts a request that is about to be sent and returns its number, starting at 1. */
  public int nextRequest() {
    return ++requestCount;
  }

  /**
   * Counts a response.
   *
   * @param isServed whether the response came from an endpoint and is not a rejection or failure
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

  /** Returns a future that completes with the warm-up and never fails. */
  public Future<Void> completion() {
    return completed.future();
  }

  /** Returns the number of requests that were sent. */
  public int requestCount() {
    return requestCount;
  }

  /** Returns the number of responses that were received. */
  public int responseCount() {
    return responseCount;
  }

  /** Returns the number of responses that came from an endpoint. */
  public int servedCount() {
    return servedCount;
  }
}
