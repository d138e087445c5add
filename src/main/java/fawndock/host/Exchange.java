package fawndock.host;

import fawndock.Gatekeeper.RequestClass;

/**
 * A client's side of one request, whatever protocol it came by. Its request gets exactly one final
 * answer: one that a server gave, passed on by the protocol's own attempt, or one of {@link
 * #refuse} and {@link #fail}; none when the client has left.
 */
public interface Exchange {
  /**
   * What was asked and by whom.
   *
   * @param arrivedAt when it was read, in microseconds since 1970
   * @param giveUpAt when the client stops waiting
   * @param label the client's own name for the request, for the log
   */
  record Asked(
      RequestClass type,
      String plan,
      String customer,
      long arrivedAt,
      long giveUpAt,
      double units,
      int spread,
      int first,
      boolean repeat,
      String label) {}

  Asked asked();

  /** Turned away; trying again after so long is harmless. */
  void refuse(long retryAfterMicros);

  /**
   * Failed, with no promise about the effect.
   *
   * @param answered whether the last attempt ended, rather than that time ran out
   */
  void fail(boolean answered, String reason);

  /** Ends the client's side at once after a streamed answer broke. */
  default void abort() {
    // Only where answers are streamed.
  }
}
