package fawndock.platform;

import fawndock.policy.action.AddToCounter;
import fawndock.policy.event.CallResult;
import fawndock.policy.event.CounterReply;
import fawndock.resp.Reply;
import fawndock.resp.ReplyReader;
import fawndock.resp.ReplyWriter;
import fawndock.runtime.CounterReplySequencer;
import fawndock.runtime.MicroClock;
import fawndock.runtime.Timers;
import fawndock.settings.Address;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.math.BigDecimal;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;

/**
 * The platform's counter: {@code ADDGET} on a few connections, pipelined, the calls of a name on
 * one of them. A call is told exactly once, in the order of its name's calls: by its answer or its
 * time-out. One that has timed out keeps its place among the answers of its connection, so that no
 * total is given to another. One context.
 */
final class CounterClient {
  /** Few: a spoilt answer ends all calls behind it, and each needs a descriptor. */
  private static final int LINES = 4;

  private static final int MOST_CALLS = 4_096;

  /** Without any answer for so long, a connection with calls out is taken to be cut off. */
  private static final long SILENT_MICROS = 2_000_000;

  private static final long FIRST_PAUSE = 20_000;
  private static final long LONGEST_PAUSE = 500_000;
  private static final int LONGEST = 512;
  private static final ReplyReader READER = new ReplyReader(LONGEST, LONGEST, 0);

  /** A call that is out. */
  private static final class Call extends CounterReplySequencer.PendingCall {
    private final AddToCounter count;
    private boolean written;
    private Timers.Timer timeOut;

    Call(AddToCounter count, long startedAt) {
      super(count.counterName(), startedAt);
      this.count = count;
    }
  }

  /** One connection at a time, opened when it is needed. */
  private final class Line {
    private Connection wire;
    private long pause = FIRST_PAUSE;
    private long notBefore;
  }

  /** One connection; calls keep their meaning on it when the line has gone on to another. */
  private final class Connection implements RespConnection.Listener {
    private final Line line;

    /** Calls in the order in which they go out, from the first that has no answer. */
    private final ArrayDeque<Call> out = new ArrayDeque<>();

    private final RespConnection connection;
    private long heardAt;

    Connection(Line line, Address at) {
      this.line = line;
      heardAt = clock.now();
      connection = new RespConnection(sockets, at, connectMicros, READER, this);
      connections.add(this);
    }

    void add(Call call) {
      if (out.isEmpty()) {
        heardAt = clock.now();
      }
      out.add(call);
      if (connection.isConnected()) {
        send(call);
      }
    }

    private void send(Call call) {
      ByteBuf command = Unpooled.buffer(128);
      ReplyWriter writer = new ReplyWriter(command);
      writer.array(4);
      writer.bulk("ADDGET");
      writer.bulk(call.count.counterName());
      writer.bulk(number(call.count.amount()));
      writer.bulk(Long.toString(Math.max(1, (call.count.timeToLiveMicros() + 999) / 1_000)));
      connection.write(command, whole -> call.written |= whole);
    }

    @Override
    public boolean expectsReply() {
      return !out.isEmpty();
    }

    @Override
    public void onConnected() {
      line.pause = FIRST_PAUSE;
      heardAt = clock.now();
      out.removeIf(
          Call::isCompleted); // Timed out before they were sent: nothing of them is to be added.
      List.copyOf(out).forEach(this::send);
    }

    @Override
    public void onReply(Reply reply, boolean more) {
      heardAt = clock.now();
      Call call = out.poll();
      if (call == null) {
        abandon();
        return;
      }
      if (reply.isError()) {
        end(call, CallResult.SHED, 0);
      } else {
        Double total = reply.isBulk() ? total(reply.text()) : null;
        end(call, total == null ? CallResult.TIMEOUT : CallResult.OK, total == null ? 0 : total);
        if (total == null) { // Spoilt: it was added, and the connection is of no further use.
          abandon();
        }
      }
    }

    @Override
    public void onProtocolError(String why) {
      onClosed(true);
    }

    @Override
    public void onClosed(boolean wasUp) {
      connections.remove(this);
      if (line.wire == this) {
        line.wire = null;
        line.notBefore = wasUp ? 0 : clock.now() + line.pause;
        line.pause = wasUp ? FIRST_PAUSE : Math.min(LONGEST_PAUSE, 2 * line.pause);
      }
      for (Call call = out.poll(); call != null; call = out.poll()) {
        end(call, call.written ? CallResult.TIMEOUT : CallResult.CONNECT_FAILED, 0);
      }
    }

    /**
     * Ends it when nothing has been heard though calls are out, or none are and it is of an address
     * before.
     */
    void check(long now) {
      if (out.isEmpty() ? !lines.contains(line) : now - heardAt > SILENT_MICROS) {
        abandon();
      }
    }

    /** Closes it; what is out on it ends as if it broke. */
    void abandon() {
      connection.close();
      onClosed(true);
    }
  }

  private final TcpTransport sockets;
  private final MicroClock clock;
  private final Timers alarms;
  private final long connectMicros;
  private final long waitMicros;
  private final CounterReplySequencer order;
  private final ActivitySummary figures;
  private List<Line> lines = List.of();

  /** Connections that are not over, those of addresses before among them. */
  private final Set<Connection> connections = new HashSet<>();

  private Address address;
  private int calls;
  private Timers.Timer next;

  /**
   * Connects when the first call comes.
   *
   * @param address null where there is no counter
   * @param waitMicros after which a call has timed out
   */
  CounterClient(
      TcpTransport sockets,
      Address address,
      MicroClock clock,
      Timers alarms,
      ActivitySummary figures,
      long connectMicros,
      long waitMicros,
      Consumer<CounterReply> told) {
    this.clock = clock;
    this.alarms = alarms;
    this.figures = figures;
    this.waitMicros = waitMicros;
    order = new CounterReplySequencer(told);
    this.sockets = sockets;
    this.connectMicros = connectMicros;
    moveTo(address);
    next = alarms.schedule(SILENT_MICROS / 4, this::check);
  }

  /**
   * Calls go to this address from now on; those out keep their connection until they are answered.
   */
  void moveTo(Address to) {
    if (to == null || to.equals(address)) {
      return;
    }
    address = to;
    List<Line> made = new ArrayList<>();
    for (int i = 0; i < LINES; i++) {
      made.add(new Line());
    }
    lines = made;
  }

  void count(AddToCounter count) {
    Call call = new Call(count, clock.now());
    order.begin(call);
    if (address == null || calls >= MOST_CALLS) {
      end(call, CallResult.CONNECT_FAILED, 0);
      return;
    }
    calls++;
    Line line = lines.get(Math.floorMod(count.counterName().hashCode(), LINES));
    if (line.wire == null && clock.now() >= line.notBefore) {
      line.wire = new Connection(line, address);
    }
    if (line.wire == null) {
      calls--;
      end(call, CallResult.CONNECT_FAILED, 0);
      return;
    }
    call.timeOut =
        alarms.schedule(
            waitMicros,
            () -> {
              calls--;
              call.timeOut = null;
              end(call, call.written ? CallResult.TIMEOUT : CallResult.CONNECT_FAILED, 0);
            });
    line.wire.add(call);
  }

  private void end(Call call, CallResult result, double total) {
    if (call.isCompleted()) {
      return;
    }
    if (call.timeOut != null) {
      alarms.cancel(call.timeOut);
      calls--;
    }
    long now = clock.now();
    figures.recordCounterCall(result, call.elapsedMicros(now));
    order.complete(call, result, total, now);
  }

  private void check() {
    long now = clock.now();
    List.copyOf(connections).forEach(connection -> connection.check(now));
    next = alarms.schedule(SILENT_MICROS / 4, this::check);
  }

  /** A decimal number without an exponent. */
  static String number(double amount) {
    return amount == Math.rint(amount) && Math.abs(amount) < 1e9
        ? Long.toString((long) amount)
        : BigDecimal.valueOf(amount).toPlainString();
  }

  private static Double total(String text) {
    try {
      double total = Double.parseDouble(text);
      return Double.isFinite(total)
              && text.length() < 40
              && "dDfF".indexOf(text.charAt(text.length() - 1)) < 0
          ? total
          : null;
    } catch (NumberFormatException e) {
      return null;
    }
  }

  void close() {
    order.close();
    alarms.cancel(next);
    List.copyOf(connections).forEach(Connection::abandon);
  }
}
