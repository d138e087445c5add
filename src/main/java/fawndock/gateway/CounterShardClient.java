package fawndock.gateway;

import fawndock.policy.action.AddToCounter;
import fawndock.policy.event.CallResult;
import fawndock.policy.event.CounterReply;
import fawndock.runtime.CounterReplySequencer;
import fawndock.runtime.MicroClock;
import fawndock.runtime.Timers;
import fawndock.settings.Address;
import fawndock.settings.GatewaySettings.CounterService;
import io.vertx.core.AsyncResult;
import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.redis.client.Command;
import io.vertx.redis.client.RedisConnection;
import io.vertx.redis.client.Request;
import io.vertx.redis.client.Response;
import io.vertx.redis.client.impl.types.ErrorType;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import java.util.regex.Pattern;

/**
 * Client of one shard of the counter service. A call is {@code FD.ADD name amount ms} where the
 * server knows it, as the project's own does; elsewhere {@code INCRBYFLOAT name amount} and {@code
 * PEXPIRE name ms NX}, pipelined. It completes exactly once, by its reply or its timeout, whichever
 * is first, in the order of the calls of its name. A call belongs to the connection that it was
 * sent on, which replies in order, so no total is given to another call. One context.
 */
final class CounterShardClient implements CounterConnection.Listener, AutoCloseable {
  private static final long MAX_BACKOFF_MICROS = 1_000_000;

  /** Timeouts in a row, without any reply, after which the connection counts as half open. */
  private static final int HALF_OPEN_TIMEOUTS = 20;

  private static final Command ADD = Command.create("FD.ADD");

  /** An error of the Redis client itself, such as a lost connection, in the form of a reply. */
  private static final Pattern CLIENT_ERROR =
      Pattern.compile(
          "ERR \\[[0-9]+] (CONNECTION_CLOSED|ILLEGAL_STATE|Connection |[a-z]+(\\.[a-z0-9]+)*\\.[A-Z])");

  /** A call in flight. */
  private static final class Call extends CounterReplySequencer.PendingCall {
    final AddToCounter command;
    Timers.Timer timeoutTimer;

    Call(AddToCounter command, long startedAtMicros) {
      super(command.counterName(), startedAtMicros);
      this.command = command;
    }
  }

  private final Context context;
  private final CounterService settings;
  private final MicroClock clock;
  private final Timers timers;
  private final CounterReplySequencer sequencer;
  private final CounterConnection connection;
  private final Set<Call> inFlight = new HashSet<>();

  /** Calls of this turn of the event loop, which go out in one write. */
  private final List<Call> unsentCalls = new ArrayList<>();

  private int commandsPerCall = 2;
  private int consecutiveTimeouts;

  /** Connects; replies are given to the listener on the context. */
  CounterShardClient(
      Vertx vertx,
      Context context,
      Address address,
      CounterService settings,
      MicroClock clock,
      Timers timers,
      Consumer<CounterReply> replyListener) {
    this.context = context;
    this.settings = settings;
    this.clock = clock;
    this.timers = timers;
    sequencer = new CounterReplySequencer(replyListener);
    connection =
        new CounterConnection(
            vertx,
            context,
            address,
            timers,
            new CounterConnection.Options(
                "counter", 2 * settings.maxCallsInFlight() + 16, MAX_BACKOFF_MICROS),
            this);
    connection.connect();
  }

  /** Adds to a count; exactly one reply is given, in a later turn of the context. */
  void add(AddToCounter command) {
    Call call = new Call(command, clock.nowMicros());
    sequencer.begin(call);
    boolean isConnected = connection.current() != null;
    if (!isConnected || inFlight.size() >= settings.maxCallsInFlight()) {
      // In a later turn, since the policy is still handling the event that led to this call.
      CallResult result = isConnected ? CallResult.SHED : CallResult.CONNECT_FAILED;
      context.runOnContext(later -> complete(call, result, 0));
      return;
    }
    inFlight.add(call);
    call.timeoutTimer = timers.schedule(settings.timeoutMicros(), () -> onTimeout(call));
    unsentCalls.add(call);
    if (unsentCalls.size() == 1) {
      context.runOnContext(later -> flush());
    }
  }

  private void flush() {
    List<Call> calls = List.copyOf(unsentCalls);
    unsentCalls.clear();
    RedisConnection used = connection.current();
    if (calls.isEmpty()) {
      return; // The connection was lost in the same turn, and they were completed then.
    }
    int perCall = commandsPerCall;
    used.batch(requests(calls, perCall))
        .onComplete(
            replies -> {
              if (used == connection.current()) {
                consecutiveTimeouts = 0;
              }
              for (int i = 0; i < calls.size(); i++) {
                onReply(calls.get(i), perCall * i, replies);
              }
            });
  }

  private static List<Request> requests(List<Call> calls, int perCall) {
    List<Request> requests = new ArrayList<>(perCall * calls.size());
    for (Call call : calls) {
      AddToCounter command = call.command;
      String amount = Double.toString(command.amount());
      long timeToLiveMillis = Math.max(1, (command.timeToLiveMicros() + 999) / 1_000);
      if (perCall == 1) {
        requests.add(Request.cmd(ADD).arg(command.counterName()).arg(amount).arg(timeToLiveMillis));
      } else {
        requests.add(Request.cmd(Command.INCRBYFLOAT).arg(command.counterName()).arg(amount));
        requests.add(
            Request.cmd(Command.PEXPIRE)
                .arg(command.counterName())
                .arg(timeToLiveMillis)
                .arg("NX"));
      }
    }
    return requests;
  }

  /** Completes the call whose first command has this index in its batch. */
  private void onReply(Call call, int index, AsyncResult<List<Response>> replies) {
    if (replies.succeeded()) {
      try {
        complete(call, CallResult.OK, Double.parseDouble(replies.result().get(index).toString()));
      } catch (NumberFormatException | NullPointerException e) {
        complete(call, CallResult.TIMEOUT, 0); // Not a total, and the amount may have been added.
      }
    } else {
      boolean isRejected = isRejected(replies.cause(), index);
      complete(call, isRejected ? CallResult.SHED : CallResult.TIMEOUT, 0);
    }
  }

  /**
   * Whether the server replied to this command with an error, so that nothing was added. The Redis
   * client gives all errors of a batch in one text, a line for each, and no totals beside them: the
   * others may have been added. It gives a lost connection in the same form, with an error word of
   * its own or the name of an exception's class.
   */
  private static boolean isRejected(Throwable cause, int index) {
    String text = cause instanceof ErrorType ? String.valueOf(cause.getMessage()) : "";
    return text.lines()
        .anyMatch(
            line ->
                line.startsWith("ERR [" + index + "] ") && !CLIENT_ERROR.matcher(line).lookingAt());
  }

  private void onTimeout(Call call) {
    complete(call, CallResult.TIMEOUT, 0);
    consecutiveTimeouts++;
    // A half-open connection would never reply again. This may drop one that is only slow, whose
    // calls have timed out by then anyway.
    if (consecutiveTimeouts >= HALF_OPEN_TIMEOUTS) {
      connection.drop(connection.current(), "silent");
    }
  }

  private void complete(Call call, CallResult result, double total) {
    if (call.isCompleted()) {
      return;
    }
    timers.cancel(call.timeoutTimer);
    inFlight.remove(call);
    sequencer.complete(call, result, total, clock.nowMicros());
  }

  @Override
  public Future<?> onConnecting(RedisConnection connecting) {
    return connecting
        .send(Request.cmd(Command.COMMAND).arg("INFO").arg("FD.ADD"))
        .map(known -> known != null && known.size() == 1 && known.get(0) != null)
        .recover(
            e ->
                CounterConnection.isErrorReply(e)
                    ? Future.succeededFuture(false)
                    : Future.failedFuture(e))
        .onSuccess(
            knowsAdd -> {
              commandsPerCall = knowsAdd ? 1 : 2;
              consecutiveTimeouts = 0;
            });
  }

  @Override
  public void onLost() {
    List<Call> neverSent = List.copyOf(unsentCalls);
    unsentCalls.clear();
    neverSent.forEach(call -> complete(call, CallResult.CONNECT_FAILED, 0));
  }

  /** Closes the connection; no reply is given any more. Closing it again has no effect. */
  @Override
  public void close() {
    sequencer.close();
    connection.close();
  }
}
