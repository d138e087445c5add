package fawndock.gateway;

import fawndock.policy.event.CallResult;
import io.vertx.core.http.StreamResetException;

/**
 * Classifies the results of calls to backends. A call counts as not processed only if RFC 9113
 * guarantees it: its stream was reset with REFUSED_STREAM (section 8.7), or its stream id is above
 * the last stream id of a GOAWAY (section 6.8). docs/design/gateway.md has a table of the results,
 * with a test for each row. The class is stateless.
 */
final class CallResults {
  /** HTTP/2 error code of a stream that was not processed. */
  static final long REFUSED_STREAM = 7;

  /** HTTP/2 error code of a stream that is no longer needed. */
  static final long CANCEL = 8;

  private CallResults() {}

  /**
   * Returns the result of a call whose stream failed.
   *
   * @param streamId id of the stream; 0 or less if no stream was opened
   * @param lastStreamId last stream id of the connection's GOAWAY, or MAX_VALUE without a GOAWAY
   */
  static CallResult ofStreamFailure(Throwable cause, int streamId, int lastStreamId) {
    if (cause instanceof StreamResetException reset) {
      return reset.getCode() == REFUSED_STREAM ? CallResult.SHED : CallResult.RESET;
    }
    return streamId > lastStreamId ? CallResult.SHED : CallResult.RESET;
  }

  /** Returns the result of a response; every status below 500 counts as OK. */
  static CallResult ofStatus(int status) {
    return status >= 500 ? CallResult.ERROR : CallResult.OK;
  }
}
