package fawndock.gateway;

import fawndock.policy.action.AddToCounter;
import fawndock.policy.event.CallResult;
import fawndock.policy.event.CounterReply;
import fawndock.runtime.CounterReplySequencer;
import fawndock.runtime.MicroClock;
import fawndock.runtime.Timers;
import fawndock.settings.Address;
import fawndock.settings.GatewaySettings.CounterParts;
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
final class CounterPart implements CounterConnection.Owner {
  private static final long LONGEST_PAUSE = 1_000_000;
  private static final int HALF_OPEN = 20;
  private static final Command ADD = Command.create("FD.ADD");
  private static final Pattern CLIENT_ERROR =
      Pattern.compile(
          "ERR \\[[0-9]+] (CONNECTION_CLOSED|ILLEGAL_STATE|Connection |[a-z]+(\\.[a-z0-9]+)*\\.[A-Z])");

  /** A call that is out. */
  private static final class Call extends CounterReplySequencer.PendingCall {
    final AddToCounter count;
    Timers.Timer timeOut;

    Call(AddToCounter count, long startedAt) {
      super(count.counterName(), startedAt);
      this.count = count;
    }
  }

  private final Context context;
  private final CounterParts settings;
  private final MicroClock clock;
  private final Timers alarms;
  private final CounterReplySequencer order;
  private final CounterConnection connection;

  /** Calls on the connection. */
  private final Set<Call> out = new HashSet<>();

  private final List<Call> unsent = new ArrayList<>();

  /** Commands for each call on this connection. */
  private int perCall = 2;

  private int inARow;

  CounterPart(
      Vertx vertx,
      Context context,
      Address address,
      CounterParts settings,
      MicroClock clock,
      Timers alarms,
      Consumer<CounterReply> told) {
    this.context = context;
    this.settings = settings;
    this.clock = clock;
    this.alarms = alarms;
    order = new CounterReplySequencer(told);
    connection =
        new CounterConnection(
            vertx,
            context,
            address,
            alarms,
            new CounterConnection.Use("counter", 2 * settings.maxCalls() + 16, LONGEST_PAUSE),
            this);
    connection.connect();
  }

  void count(AddToCounter count) {
    Call call = new Call(count, clock.now());
    order.begin(call);
    boolean none = connection.now() == null;
    if (none || out.size() >= settings.maxCalls()) {
      // In a later turn: the gatekeeper is still being asked.
      CallResult why = none ? CallResult.CONNECT_FAILED : CallResult.SHED;
      context.runOnContext(later -> end(call, why, 0));
      return;
    }
    out.add(call);
    call.timeOut = alarms.schedule(settings.timeoutMicros(), () -> timeOut(call));
    // What is called in one turn of the loop goes out in one write.
    unsent.add(call);
    if (unsent.size() == 1) {
      context.runOnContext(later -> send());
    }
  }

  private void send() {
    List<Call> calls = List.copyOf(unsent);
    unsent.clear();
    RedisConnection used = connection.now();
    if (calls.isEmpty()) {
      return; // The connection was lost in the same turn, and they were ended then.
    }
    List<Request> commands = new ArrayList<>(perCall * calls.size());
    int each = perCall;
    for (Call call : calls) {
      AddToCounter count = call.count;
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
                inARow = 0;
              }
              for (int i = 0; i < calls.size(); i++) {
                answered(calls.get(i), each * i, answer);
              }
            });
  }

  /**
   * Tells the end of a call whose first command has this place in its batch, unless it has timed
   * out.
   */
  private void answered(Call call, int place, AsyncResult<List<Response>> answer) {
    if (answer.succeeded()) {
      try {
        end(call, CallResult.OK, Double.parseDouble(answer.result().get(place).toString()));
      } catch (NumberFormatException | NullPointerException e) {
        end(call, CallResult.TIMEOUT, 0); // Not a total, and the amount may have been added.
      }
    } else {
      end(call, refused(answer.cause(), place) ? CallResult.SHED : CallResult.TIMEOUT, 0);
    }
  }

  // Whether the server answered this command with an error, so that nothing was added. The client
  // tells all errors
  // of a batch in one text, a line for each, and no totals beside them: the others may have been
  // added. It tells a
  // lost connection in the same form, with an error word of its own or the name of an exception's
  // class.
  private static boolean refused(Throwable cause, int place) {
    String text = cause instanceof ErrorType ? String.valueOf(cause.getMessage()) : "";
    return text.lines()
        .anyMatch(
            line ->
                line.startsWith("ERR [" + place + "] ") && !CLIENT_ERROR.matcher(line).lookingAt());
  }

  private void timeOut(Call call) {
    end(call, CallResult.TIMEOUT, 0);
    inARow++;
    // Guards against a half-open connection, on which nothing would ever be heard again. May drop
    // one that
    // is only slow; its calls have timed out by then anyway.
    if (inARow >= HALF_OPEN) {
      connection.lost(connection.now(), "silent");
    }
  }

  private void end(Call call, CallResult result, double total) {
    if (call.isCompleted()) {
      return;
    }
    alarms.cancel(call.timeOut);
    out.remove(call);
    order.complete(call, result, total, clock.now());
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
              perCall = knowsAdd ? 1 : 2;
              inARow = 0;
            });
  }

  @Override
  public void lost() {
    List<Call> never = List.copyOf(unsent);
    unsent.clear();
    never.forEach(call -> end(call, CallResult.CONNECT_FAILED, 0));
  }

  void close() {
    order.close();
    connection.close();
  }
}
