package fawndock.loadgen;

import fawndock.settings.Address;
import java.nio.file.Path;
import java.util.List;

/**
 * The contents of a load file. Immutable.
 *
 * @param targets addresses that receive the requests in round-robin order
 * @param http2 whether to use HTTP/2 over cleartext with prior knowledge; otherwise HTTP/1.1
 * @param seconds time during which requests start
 * @param seed random seed of the load
 * @param connections maximum number of connections to each target
 * @param maxOutstanding maximum number of requests in flight; requests that are due beyond it are
 *     not sent, which makes the run unusable
 * @param slackMicros delay after its intended start beyond which a request counts as sent late
 * @param intervalSeconds time between two progress reports
 * @param flows generated requests
 * @param traces recorded requests to replay
 */
public record LoadPlan(
    List<Address> targets,
    boolean http2,
    double seconds,
    long seed,
    int connections,
    int maxOutstanding,
    long slackMicros,
    double intervalSeconds,
    List<Flow> flows,
    List<TraceReplay> traces) {
  /** Properties that all requests of a flow or a trace share. */
  public record Request(
      String name,
      String method,
      String path,
      String key,
      int bodyBytes,
      ClientBehavior clientBehavior) {}

  /**
   * Requests that are generated at random.
   *
   * @param requestsPerSecond base rate
   * @param isEven whether arrivals have equal gaps; otherwise they are Poisson
   * @param closedLoopClients number of clients that each send a request when the previous one has
   *     ended, in place of a rate; 0 for an open load
   * @param customerCount number of customers
   * @param skew exponent of the Zipf distribution of the customers' shares
   */
  public record Flow(
      Request request,
      double requestsPerSecond,
      RateShape shape,
      boolean isEven,
      int closedLoopClients,
      int customerCount,
      double skew) {}

  /**
   * Recorded requests to replay.
   *
   * @param speed factor on the speed of the replay, 1 for the recorded speed
   */
  public record TraceReplay(Request request, Path file, double speed) {}
}
