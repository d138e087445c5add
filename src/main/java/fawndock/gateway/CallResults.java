package fawndock.gateway;

import fawndock.policy.event.CallResult;
import io.vertx.core.http.StreamResetException;

/**
 * How the end of an exchange with a worker is told to the gatekeeper. Only what RFC 9113 proves
 * unprocessed is told as unrun: a stream refused with REFUSED_STREAM (8.7), and one above the last
 * of a GOAWAY (6.8). The table in docs/design/gateway.md has a test for each line.
 */
final class CallResults {
  static final long REFUSED_STREAM = 7;
  static final long CANCEL = 8;

  private CallResults() {}

  /**
   * The end of a stream that broke.
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

  /**
   * The end of an answer with this status: what a worker answered itself is served, unless it is an
   * error.
   */
  static CallResult ofStatus(int status) {
    return status >= 500 ? CallResult.ERROR : CallResult.OK;
  }
}
