package fawndock.gateway;

import fawndock.policy.event.CallResult;
import io.vertx.core.http.StreamResetException;

/**
 * Classifies how an exchange with a backend ended. Only what RFC 9113 proves unprocessed counts as
 * never run: a stream reset with REFUSED_STREAM (8.7), and one above the last of a GOAWAY (6.8).
 * The table in docs/design/gateway.md has a test for each line. Stateless.
 */
final class CallResults {
  /** HTTP/2 error code: the stream was not processed. */
  static final long REFUSED_STREAM = 7;

  /** HTTP/2 error code: the stream is no longer needed. */
  static final long CANCEL = 8;

  private CallResults() {}

  /**
   * The result of a stream that failed.
   *
   * @param streamId 0 or less when none was opened
   * @param lastStreamId the last stream that the connection's GOAWAY says may be processed;
   *     MAX_VALUE without one
   */
  static CallResult ofStreamFailure(Throwable cause, int streamId, int lastStreamId) {
    if (cause instanceof StreamResetException reset) {
      return reset.getCode() == REFUSED_STREAM ? CallResult.SHED : CallResult.RESET;
    }
    return streamId > lastStreamId ? CallResult.SHED : CallResult.RESET;
  }

  /** The result of a response: any status below 500 is the backend's own answer. */
  static CallResult ofStatus(int status) {
    return status >= 500 ? CallResult.ERROR : CallResult.OK;
  }
}
