package fawndock.loadgen;

import fawndock.settings.Address;
import java.nio.file.Path;
import java.util.List;

/**
 * All that a load file says.
 *
 * @param targets asked in turns
 * @param http2 over cleartext, by prior knowledge; else HTTP/1.1
 * @param seconds how long requests begin
 * @param connections to each target
 * @param outstanding requests at once, beyond which those that are due are not sent and the run is
 *     unusable
 * @param slackMicros by which a request may leave late before it counts as one that the generator
 *     could not keep up with
 * @param intervalSeconds between the lines that tell how it goes
 * @param flows of requests
 * @param traces recorded requests that are played again
 */
public record LoadPlan(
    List<Address> targets,
    boolean http2,
    double seconds,
    long seed,
    int connections,
    int outstanding,
    long slackMicros,
    double intervalSeconds,
    List<Flow> flows,
    List<TraceReplay> traces) {
  /** What the requests of a flow or a trace have in common. */
  public record Request(
      String name, String method, String path, String key, int bodyBytes, ClientBehavior manners) {}

  /**
   * Requests that are drawn.
   *
   * @param rate a second
   * @param even equal gaps, else Poisson
   * @param closed when above 0, so many clients that each ask when they have their answer, and no
   *     rate
   * @param skew of the customers' shares
   */
  public record Flow(
      Request request,
      double rate,
      RateShape shape,
      boolean even,
      int closed,
      int customers,
      double skew) {}

  /**
   * Requests that were recorded.
   *
   * @param speed at which they are played, 1 for as they were
   */
  public record TraceReplay(Request request, Path file, double speed) {}
}
