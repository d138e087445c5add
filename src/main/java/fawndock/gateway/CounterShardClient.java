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
 * Client of one shard of the counter service. A call is {@code FD.ADD name amount ms} if the server
 * supports that command, as this project's counter server does, and otherwise {@code INCRBYFLOAT
 * name amount} and {@code PEXPIRE name ms NX}, pipelined. A call completes exactly once, by its
 * reply or its timeout, whichever comes first, and calls with the same counter name complete in the
 * order in which they were made. A call is bound to the connection that it was sent on, which
 * replies in order, so a total never reaches a different call. The client is confined to one
 * event-loop context.
 */
final class CounterShardClient implements CounterConnection.Listener, AutoCloseable {
  private static final long MAX_BACKOFF_MICROS = 1_000_000;

  /**
   * Number of consecutive timeouts, without any reply, after which the connection is treated as
   * half-open.
   */
  private static final int MAX_CONSECUTIVE_TIMEOUTS = 20;

  private static final Command ADD = Command.create("FD.ADD");

  /**
   * Matches an error that the Redis client raises itself, such as a lost connection, and reports in
   * the form of an error reply.
   */
  private static final Pattern CLIENT_ERROR =
      Pattern.compile(
          "ERR \\[[0-9]+] (CONNECTION_CLOSED|ILLEGAL_STATE|Connection |[a-z]+(\\.[a-z0-9]+)*\\.[A-Z])");

  /** A call that is queued or in flight, with its timeout. */
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

  /** Calls made in the current event-loop turn; they are sent in one write. */
  private final List<Call> unsentCalls = new ArrayList<>();

  private int commandsPerCall = 2;
  private int consecutiveTimeouts;

  /** Starts connecting. The listener receives the replies on the context. */
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

  /**
   * Adds an amount to a counter. The listener receives exactly one reply, in a later turn of the
   * context.
   */
  void add(AddToCounter command) {
    Call call = new Call(command, clock.nowMicros());
    sequencer.begin(call);
    boolean isConnected = connection.current() != null;
    if (!isConnected || inFlight.size() >= settings.maxCallsInFlight()) {
      // Completes in a later turn because the policy is still handling the event that caused this
      // call.
      CallResult result = isConnected ? CallResult.SHED : CallResult.CONNECT_FAILED;
      context.runOnContext(v -> complete(call, result, 0));
      return;
    }
    inFlight.add(call);
    call.timeoutTimer = timers.schedule(settings.timeoutMicros(), () -> onTimeout(call));
    unsentCalls.add(call);
    if (unsentCalls.size() == 1) {
      context.runOnContext(v -> flush());
    }
  }

  private void flush() {
    List<Call> calls = List.copyOf(unsentCalls);
    unsentCalls.clear();
    RedisConnection requestConnection = connection.current();
    if (calls.isEmpty()) {
      return; // The connection was lost in the same turn, which completed the calls.
    }
    int commandsPerBatchedCall = commandsPerCall;
    requestConnection
        .batch(requests(calls, commandsPerBatchedCall))
        .onComplete(
            replies -> {
              if (requestConnection == connection.current()) {
                consecutiveTimeouts = 0;
              }
              for (int i = 0; i < calls.size(); i++) {
                onReply(calls.get(i), commandsPerBatchedCall * i, replies);
              }
            });
  }

  private static List<Request> requests(List<Call> calls, int commandsPerBatchedCall) {
    List<Request> requests = new ArrayList<>(commandsPerBatchedCall * calls.size());
    for (Call call : calls) {
      AddToCounter command = call.command;
      String amount = Double.toString(command.amount());
      long timeToLiveMillis = Math.max(1, (command.timeToLiveMicros() + 999) / 1_000);
      if (commandsPerBatchedCall == 1) {
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

  /** Completes the call whose first command has the given index in the batch. */
  private void onReply(Call call, int index, AsyncResult<List<Response>> replies) {
    if (replies.succeeded()) {
      try {
        complete(call, CallResult.OK, Double.parseDouble(replies.result().get(index).toString()));
      } catch (NumberFormatException | NullPointerException e) {
        // The reply is not a total, but the amount may have been added.
        complete(call, CallResult.TIMEOUT, 0);
      }
    } else {
      boolean isRejected = isRejected(replies.cause(), index);
      complete(call, isRejected ? CallResult.SHED : CallResult.TIMEOUT, 0);
    }
  }

  /**
   * Returns whether the server replied to this command with an error, so that nothing was added.
   * The Redis client reports all errors of a batch in one message, one line each, without the
   * totals of the commands that succeeded, so those amounts may have been added. It reports a lost
   * connection in the same form, with its own error code or an exception class name.
   */
  private static boolean isRejected(Throwable cause, int index) {
    String message = cause instanceof ErrorType ? String.valueOf(cause.getMessage()) : "";
    return message
        .lines()
        .anyMatch(
            line ->
                line.startsWith("ERR [" + index + "] ") && !CLIENT_ERROR.matcher(line).lookingAt());
  }

  private void onTimeout(Call call) {
    complete(call, CallResult.TIMEOUT, 0);
    consecutiveTimeouts++;
    // A half-open connection never replies again. This may also drop a connection that is merely
    // slow, but its calls have already timed out.
    if (consecutiveTimeouts >= MAX_CONSECUTIVE_TIMEOUTS) {
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
  public Future<?> handshake(RedisConnection newConnection) {
    return newConnection
        .send(Request.cmd(Command.COMMAND).arg("INFO").arg("FD.ADD"))
        .map(
            commandInfo ->
                commandInfo != null && commandInfo.size() == 1 && commandInfo.get(0) != null)
        .recover(
            e ->
                CounterConnection.isErrorReply(e)
                    ? Future.succeededFuture(false)
                    : Future.failedFuture(e))
        .onSuccess(
            supportsAdd -> {
              commandsPerCall = supportsAdd ? 1 : 2;
              consecutiveTimeouts = 0;
            });
  }

  @Override
  public void onLost() {
    List<Call> unsent = List.copyOf(unsentCalls);
    unsentCalls.clear();
    unsent.forEach(call -> complete(call, CallResult.CONNECT_FAILED, 0));
  }

  /** Closes the connection and stops delivering replies. Closing it again has no effect. */
  @Override
  public void close() {
    sequencer.close();
    connection.close();
  }
}
