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
 * One part of the counter service, over one connection of the Redis serialization protocol at a
 * time. A call is {@code FD.ADD name amount ms} where the server knows that, as the project's own
 * does; elsewhere {@code INCRBYFLOAT name amount} and {@code PEXPIRE name ms NX}, pipelined. It is
 * told exactly once, in the order of the calls of its name: by its answer or by its time-out,
 * whichever is first. One connection answers in order and a call belongs to the connection that it
 * went out on, so that no total is given to another call.
 */
final class CounterShardClient implements CounterConnection.Owner {
  private static final long MAX_BACKOFF_MICROS = 1_000_000;
  private static final int HALF_OPEN_TIMEOUTS = 20;
  private static final Command ADD = Command.create("FD.ADD");
  private static final Pattern CLIENT_ERROR =
      Pattern.compile(
          "ERR \\[[0-9]+] (CONNECTION_CLOSED|ILLEGAL_STATE|Connection |[a-z]+(\\.[a-z0-9]+)*\\.[A-Z])");

  /** A call that is out. */
  private static final class Call extends CounterReplySequencer.PendingCall {
    final AddToCounter command;
    Timers.Timer timeoutTimer;

    Call(AddToCounter count, long startedAt) {
      super(count.counterName(), startedAt);
      this.command = count;
    }
  }

  private final Context context;
  private final CounterService settings;
  private final MicroClock clock;
  private final Timers timers;
  private final CounterReplySequencer sequencer;
  private final CounterConnection connection;

  /** Calls on the connection. */
  private final Set<Call> inFlight = new HashSet<>();

  private final List<Call> unsentCalls = new ArrayList<>();

  /** Commands for each call on this connection. */
  private int commandsPerCall = 2;

  private int consecutiveTimeouts;

  CounterShardClient(
      Vertx vertx,
      Context context,
      Address address,
      CounterService settings,
      MicroClock clock,
      Timers alarms,
      Consumer<CounterReply> told) {
    this.context = context;
    this.settings = settings;
    this.clock = clock;
    this.timers = alarms;
    sequencer = new CounterReplySequencer(told);
    connection =
        new CounterConnection(
            vertx,
            context,
            address,
            alarms,
            new CounterConnection.Use(
                "counter", 2 * settings.maxCallsInFlight() + 16, MAX_BACKOFF_MICROS),
            this);
    connection.connect();
  }

  void add(AddToCounter count) {
    Call call = new Call(count, clock.now());
    sequencer.begin(call);
    boolean none = connection.now() == null;
    if (none || inFlight.size() >= settings.maxCallsInFlight()) {
      // In a later turn: the gatekeeper is still being asked.
      CallResult why = none ? CallResult.CONNECT_FAILED : CallResult.SHED;
      context.runOnContext(later -> complete(call, why, 0));
      return;
    }
    inFlight.add(call);
    call.timeoutTimer = timers.schedule(settings.timeoutMicros(), () -> onTimeout(call));
    // What is called in one turn of the loop goes out in one write.
    unsentCalls.add(call);
    if (unsentCalls.size() == 1) {
      context.runOnContext(later -> flush());
    }
  }

  private void flush() {
    List<Call> calls = List.copyOf(unsentCalls);
    unsentCalls.clear();
    RedisConnection used = connection.now();
    if (calls.isEmpty()) {
      return; // The connection was lost in the same turn, and they were ended then.
    }
    List<Request> commands = new ArrayList<>(commandsPerCall * calls.size());
    int each = commandsPerCall;
    for (Call call : calls) {
      AddToCounter count = call.command;
      String amount = Double.toString(count.amount());
      long keepMillis = Math.max(1, (count.timeToLiveMicros() + 999) / 1_000);
      if (each == 1) {
        commands.add(Request.cmd(ADD).arg(count.counterName()).arg(amount).arg(keepMillis));
      } else {
        commands.add(Request.cmd(Command.INCRBYFLOAT).arg(count.counterName()).arg(amount));
        commands.add(
            Request.cmd(Command.PEXPIRE).arg(count.counterName()).arg(keepMillis).arg("NX"));
      }
    }
    used.batch(commands)
        .onComplete(
            answer -> {
              if (used == connection.now()) {
                consecutiveTimeouts = 0;
              }
              for (int i = 0; i < calls.size(); i++) {
                onReply(calls.get(i), each * i, answer);
              }
            });
  }

  /**
   * Tells the end of a call whose first command has this place in its batch, unless it has timed
   * out.
   */
  private void onReply(Call call, int place, AsyncResult<List<Response>> answer) {
    if (answer.succeeded()) {
      try {
        complete(call, CallResult.OK, Double.parseDouble(answer.result().get(place).toString()));
      } catch (NumberFormatException | NullPointerException e) {
        complete(call, CallResult.TIMEOUT, 0); // Not a total, and the amount may have been added.
      }
    } else {
      complete(call, isRejected(answer.cause(), place) ? CallResult.SHED : CallResult.TIMEOUT, 0);
    }
  }

  // Whether the server answered this command with an error, so that nothing was added. The client
  // tells all errors
  // of a batch in one text, a line for each, and no totals beside them: the others may have been
  // added. It tells a
  // lost connection in the same form, with an error word of its own or the name of an exception's
  // class.
  private static boolean isRejected(Throwable cause, int place) {
    String text = cause instanceof ErrorType ? String.valueOf(cause.getMessage()) : "";
    return text.lines()
        .anyMatch(
            line ->
                line.startsWith("ERR [" + place + "] ") && !CLIENT_ERROR.matcher(line).lookingAt());
  }

  private void onTimeout(Call call) {
    complete(call, CallResult.TIMEOUT, 0);
    consecutiveTimeouts++;
    // Guards against a half-open connection, on which nothing would ever be heard again. May drop
    // one that
    // is only slow; its calls have timed out by then anyway.
    if (consecutiveTimeouts >= HALF_OPEN_TIMEOUTS) {
      connection.lost(connection.now(), "silent");
    }
  }

  private void complete(Call call, CallResult result, double total) {
    if (call.isCompleted()) {
      return;
    }
    timers.cancel(call.timeoutTimer);
    inFlight.remove(call);
    sequencer.complete(call, result, total, clock.now());
  }

  @Override
  public Future<?> greet(RedisConnection made) {
    return made.send(Request.cmd(Command.COMMAND).arg("INFO").arg("FD.ADD"))
        .map(known -> known != null && known.size() == 1 && known.get(0) != null)
        .recover(
            e ->
                CounterConnection.refused(e)
                    ? Future.succeededFuture(false)
                    : Future.failedFuture(e))
        .onSuccess(
            knowsAdd -> {
              commandsPerCall = knowsAdd ? 1 : 2;
              consecutiveTimeouts = 0;
            });
  }

  @Override
  public void lost() {
    List<Call> never = List.copyOf(unsentCalls);
    unsentCalls.clear();
    never.forEach(call -> complete(call, CallResult.CONNECT_FAILED, 0));
  }

  void close() {
    sequencer.close();
    connection.close();
  }
}
