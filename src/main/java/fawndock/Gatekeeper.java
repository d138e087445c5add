package fawndock;

import java.util.List;
import java.util.Map;

/**
 * One gatekeeper's decisions, as a host sees them: it is made from {@link Settings}, is told {@link
 * Event}s in the order in which they happen, and answers each with the {@link Action}s to carry
 * out, in order. Times are in microseconds of a clock that all gatekeepers share. An instance
 * belongs to one thread at a time.
 */
public interface Gatekeeper {
  /** Takes in one event at the time given and returns what is to be done now. */
  List<Action> on(long nowMicros, Event event);

  /** What a request class allows to be done again. */
  enum Repeat {
    IDEMPOTENT,
    DEDUPLICATED,
    AT_MOST_ONCE
  }

  /**
   * Which servers drop repeats of a deduplicated request: all, those of one zone, or those of one
   * cell.
   */
  enum Group {
    ALL,
    ZONE,
    CELL
  }

  /** How an attempt, a probe or a counter call ended. */
  enum Result {
    /** Served, or counted. */
    OK(true),
    /** The server answered with an error. */
    ERROR(true),
    /** Turned away unseen. */
    SHED(false),
    /** No answer in time. */
    TIMEOUT(true),
    /** No connection could be had. */
    CONNECT_FAILED(false),
    /** The connection broke while the attempt was out. */
    RESET(true),
    /** Called off by the gatekeeper. */
    CANCELLED(true),
    /** Never sent. */
    UNUSED(false);

    /** Whether the work may have taken place. */
    public final boolean mayHaveRun;

    Result(boolean mayHaveRun) {
      this.mayHaveRun = mayHaveRun;
    }
  }

  /** What discovery says of a server. */
  enum Availability {
    RUNNING,
    STOPPING,
    DELETED
  }

  /** How a list of servers is to be read. */
  enum Listing {
    CHANGES,
    COMPLETE,
    CACHED,
    FAILED
  }

  /** A class of requests: its aim, its worth and what may be repeated. */
  record RequestClass(
      String name,
      long aimMicros,
      double aimStretch,
      long deadlineMicros,
      double worth,
      double lateWorth,
      Repeat repeat,
      Group group,
      long repeatWindowMicros,
      boolean streamed) {}

  /**
   * A plan's quotas for each customer: a rate with a store, a cap on open attempts, a ceiling (0 is
   * none).
   */
  record Plan(
      String name,
      double rate,
      double storeSize,
      int concurrency,
      double pays,
      double overWorth,
      double overCost,
      double ceilingRate,
      double ceilingBurst,
      double ceilingSlack) {}

  /** What the site lets a gatekeeper do. */
  record Limits(
      int maxAttempts,
      int maxOpen,
      long maxRetryAfterMicros,
      boolean duplicates,
      boolean cancel,
      boolean probes,
      boolean peers,
      boolean retryAfter) {}

  /** The figures of the rules that a gatekeeper keeps. */
  record Rules(
      long answerGraceMicros,
      long drainGraceMicros,
      double coldShare,
      long coldMicros,
      double fallMultiple,
      long fallMicros,
      long askWithinMicros) {}

  /** Whether there is a counter service, and how long a call to it may take. */
  record Counter(boolean present, long waitMicros, boolean settled) {}

  /** All that a gatekeeper is told when it starts. */
  record Settings(
      int me,
      int gatekeepers,
      long seed,
      long roundMicros,
      String zone,
      boolean mustAskForServers,
      List<RequestClass> classes,
      List<Plan> plans,
      Limits limits,
      Rules rules,
      Counter counter) {}

  /** One server, as discovery lists it; {@code startedMicros} 0 is long ago. */
  record Server(
      String id,
      String zone,
      int cell,
      Availability availability,
      double weight,
      long startedMicros) {}

  /** Something that happened. */
  sealed interface Event
      permits Servers, Request, Started, Outcome, Probed, Gone, Wake, Counted, Message {}

  /** What discovery has to say about the servers. */
  record Servers(Listing listing, List<Server> servers) implements Event {}

  /** A client's try: exactly one final answer is owed before {@code giveUpAtMicros}. */
  record Request(
      long id,
      String requestClass,
      String plan,
      String customer,
      long giveUpAtMicros,
      double units,
      int spread,
      int first,
      boolean repeat)
      implements Event {}

  /** A streamed answer has begun: the attempt is the client's from now on. */
  record Started(long requestId, int attempt, String server) implements Event {}

  /** An attempt ended; {@code over} says that the request has had its final answer. */
  record Outcome(
      long requestId,
      int attempt,
      String server,
      long tookMicros,
      Result result,
      boolean over,
      double settledUnits,
      Map<String, Double> load)
      implements Event {}

  /** A probe ended. */
  record Probed(String server, long tookMicros, Result result, Map<String, Double> load)
      implements Event {}

  /** The client has left: no answer is owed any more. */
  record Gone(long requestId) implements Event {}

  /** A timer of this gatekeeper's own is due. */
  record Wake(String token) implements Event {}

  /** A counter call ended; the total is that after the call. */
  record Counted(String name, Result result, double total, long tookMicros) implements Event {}

  /** A message from a fellow gatekeeper. */
  record Message(int from, String text) implements Event {}

  /** Something to do. */
  sealed interface Action
      permits Attempt, Refuse, Fail, Count, WakeAfter, Cancel, Probe, Tell, Fetch, Watch, Note {}

  /** Sends a request to a server; attempts of a request are numbered from 0 in the order sent. */
  record Attempt(long requestId, String server, long abandonAtMicros) implements Action {}

  /** Final answer: turned away, and trying again is harmless. */
  record Refuse(long requestId, long retryAfterMicros) implements Action {}

  /** Final answer: failed, with no promise about its effect. */
  record Fail(long requestId) implements Action {}

  /** Adds to a named count; a new name is forgotten after {@code keepMicros}. */
  record Count(String name, double amount, long keepMicros) implements Action {}

  /** Asks for a {@link Wake} with this token. */
  record WakeAfter(long micros, String token) implements Action {}

  /** Calls one attempt off. */
  record Cancel(long requestId, int attempt) implements Action {}

  /** Probes a server. */
  record Probe(String server) implements Action {}

  /** Sends a text to one fellow gatekeeper, or to all of them when {@code to} is below 0. */
  record Tell(int to, String text) implements Action {}

  /** Asks discovery once for the complete list. */
  record Fetch() implements Action {}

  /** Asks discovery to report changes from now on. */
  record Watch() implements Action {}

  /** A line for the operators. */
  record Note(String text) implements Action {}
}
