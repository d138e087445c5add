package fawndock.gateway;

import fawndock.counter.replication.ClientAction;
import fawndock.counter.replication.ClientAction.CallEnded;
import fawndock.counter.replication.ClientAction.FetchMembership;
import fawndock.counter.replication.ClientAction.PushMembership;
import fawndock.counter.replication.ClientAction.SendHeartbeat;
import fawndock.counter.replication.ClientAction.SendSum;
import fawndock.counter.replication.ClientTimeouts;
import fawndock.counter.replication.MembershipList;
import fawndock.counter.replication.ReplicaClient;
import fawndock.counter.replication.ReplicatedSum;
import fawndock.counter.storage.CommandException;
import fawndock.counter.storage.DecimalAmount;
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
import io.vertx.core.Vertx;
import io.vertx.redis.client.Command;
import io.vertx.redis.client.Request;
import io.vertx.redis.client.Response;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Counter nodes that stand in for each other. {@link ReplicaClient} decides which is asked; this
 * keeps the connections and the time, and tells the ends of the calls of a name in the order in
 * which they were made, each once.
 */
final class CounterNodes {
  private static final Logger LOG = LoggerFactory.getLogger(CounterNodes.class);
  private static final long TICK_MICROS = 5_000;
  private static final Command SUM = Command.create("FD.SUM");
  private static final Command NODES = Command.create("FD.NODES");
  private static final Command HERE = Command.create("FD.HERE");

  private final Vertx vertx;
  private final CounterParts settings;
  private final MicroClock clock;
  private final Timers alarms;
  private final CounterReplySequencer order;
  private final Context context;
  private final ReplicaClient client;

  /** This start of this gatekeeper; the chance that two have the same is some one in 10^18. */
  private final long origin = ThreadLocalRandom.current().nextLong(1, Long.MAX_VALUE);

  private final Map<String, NodeLine> nodes = new LinkedHashMap<>();

  /** Lines to nodes' new addresses, until they are connected. */
  private final Map<String, NodeLine> moving = new HashMap<>();

  private final Map<Long, CounterReplySequencer.PendingCall> calls = new HashMap<>();
  private boolean closed;

  CounterNodes(
      Vertx vertx,
      Context context,
      CounterParts settings,
      MicroClock clock,
      Timers alarms,
      Consumer<CounterReply> told) {
    this.settings = settings;
    this.clock = clock;
    this.alarms = alarms;
    order = new CounterReplySequencer(told);
    this.context = context;
    this.vertx = vertx;
    settings.nodes().forEach((id, address) -> nodes.put(id, line(id, address)));
    long limit = Math.max(2, settings.timeoutMicros() / 1_000);
    // The next node is asked early: an answer that comes late in a call's time tells the gatekeeper
    // that the counter
    // is crowded, and a second question costs little.
    client =
        new ReplicaClient(
            origin,
            List.copyOf(nodes.keySet()),
            new ClientTimeouts(Math.max(1, limit / 5), limit, limit, limit));
    alarms.schedule(TICK_MICROS, this::tick);
  }

  private NodeLine line(String id, Address address) {
    NodeLine[] made = new NodeLine[1];
    made[0] =
        new NodeLine(
            vertx,
            context,
            address,
            settings.maxCalls(),
            alarms,
            () -> connected(id, made[0]),
            () -> lost(id, made[0]));
    return made[0];
  }

  /**
   * A node's line to its new address is there: the old one ends when what is out on it has ended.
   */
  private void connected(String id, NodeLine line) {
    if (moving.remove(id, line)) {
      NodeLine old = nodes.put(id, line);
      if (old != null) {
        alarms.schedule(settings.timeoutMicros(), old::close);
      }
    }
  }

  private long now() {
    return clock.now() / 1_000;
  }

  void count(AddToCounter count) {
    CounterReplySequencer.PendingCall waiting =
        new CounterReplySequencer.PendingCall(count.counterName(), clock.now());
    order.begin(waiting);
    List<ClientAction> out = new ArrayList<>();
    try {
      if (calls.size() >= settings.maxCalls()) {
        throw new CommandException("too many calls are out");
      }
      DecimalAmount amount =
          DecimalAmount.parse(Double.toString(count.amount()).getBytes(StandardCharsets.US_ASCII));
      long call =
          client.add(
              count.counterName(),
              amount,
              Math.max(1, (count.timeToLiveMicros() + 999) / 1_000),
              now(),
              out);
      calls.put(call, waiting);
    } catch (CommandException e) {
      context.runOnContext(
          later -> end(waiting, CallResult.SHED, 0)); // The gatekeeper is still being asked.
      return;
    }
    if (out.stream().anyMatch(CallEnded.class::isInstance)) {
      context.runOnContext(later -> carry(out));
    } else {
      carry(out);
    }
  }

  private void carry(List<ClientAction> out) {
    for (ClientAction each : out) {
      if (each instanceof SendSum ask) {
        ask(ask);
      } else if (each instanceof SendHeartbeat here) {
        here(here);
      } else if (each instanceof FetchMembership fetch) {
        list(fetch.node(), Request.cmd(NODES));
      } else if (each instanceof PushMembership give) {
        Request request = Request.cmd(NODES);
        for (String word : give.list().toString().split(" ")) {
          request.arg(word);
        }
        list(give.node(), request);
      } else if (each instanceof CallEnded end) {
        CounterReplySequencer.PendingCall waiting = calls.remove(end.callId());
        if (waiting != null) {
          end(
              waiting,
              switch (end.outcome()) {
                case OK -> CallResult.OK;
                case TIMEOUT -> CallResult.TIMEOUT;
                case UNREACHABLE -> CallResult.CONNECT_FAILED;
                case REJECTED -> CallResult.SHED;
              },
              end.total());
        }
      }
    }
  }

  private void here(SendHeartbeat here) {
    send(
        here.node(),
        Request.cmd(HERE).arg(origin).arg(here.stamp()),
        answer -> {
          if (answer.succeeded()) {
            List<ClientAction> out = new ArrayList<>();
            client.onHeartbeatReply(
                here.node(),
                answer.result().get(0).toInteger() == 1,
                answer.result().get(1).toLong(),
                out);
            carry(out);
          }
        });
  }

  /**
   * Asks a node for its list of nodes, or gives it a newer one; goes by the list that it answers
   * when it is newer.
   */
  private void list(String node, Request request) {
    send(
        node,
        request,
        answer -> {
          String text = answer.succeeded() ? answer.result().toString() : "";
          if (!text.isEmpty()) {
            adopt(MembershipList.parse(text));
          }
        });
  }

  private void adopt(MembershipList list) {
    List<ClientAction> out = new ArrayList<>();
    if (!client.adoptMembership(list, now(), out)) {
      return;
    }
    LOG.info("goes by a new list of counter nodes: {}", list);
    for (String id : List.copyOf(nodes.keySet())) {
      if (!list.addresses().containsKey(id)) {
        nodes.remove(id).close();
      }
    }
    moving.values().forEach(NodeLine::close);
    moving.clear();
    list.addresses()
        .forEach(
            (id, address) -> {
              NodeLine now = nodes.get(id);
              if (now == null) {
                nodes.put(id, line(id, Address.of(address)));
              } else if (!now.address().toString().equals(address)) {
                // Guards against a moment without any node when all have other addresses. It asks
                // at the old one until
                // the new one can be reached.
                moving.put(id, line(id, Address.of(address)));
              }
            });
    carry(out);
  }

  private void send(String node, Request request, Consumer<AsyncResult<Response>> answered) {
    NodeLine line = nodes.get(node);
    if (line != null) {
      line.send(request, answered);
    }
  }

  private void ask(SendSum ask) {
    ReplicatedSum sum = ask.sum();
    send(
        ask.node(),
        Request.cmd(SUM)
            .arg(sum.name())
            .arg(sum.origin())
            .arg(sum.added().toString())
            .arg(sum.withdrawn().toString())
            .arg(sum.timeToLiveMillis()),
        answer -> {
          List<ClientAction> out = new ArrayList<>();
          if (answer.succeeded()) {
            client.onTotal(
                ask.node(), ask.callId(), Double.parseDouble(answer.result().toString()), out);
          } else if (CounterConnection.refused(answer.cause())) {
            String text = String.valueOf(answer.cause().getMessage());
            boolean notReady =
                text.startsWith("LOADING")
                    || text.startsWith("FENCED")
                    || text.startsWith("MISCONF");
            client.onRejected(ask.node(), ask.callId(), notReady, now(), out);
          }
          carry(out);
        });
  }

  private void lost(String node, NodeLine line) {
    if (nodes.get(node) != line) {
      return;
    }
    List<ClientAction> out = new ArrayList<>();
    client.onConnectionLost(node, now(), out);
    carry(out);
  }

  private void tick() {
    if (!closed) {
      List<ClientAction> out = new ArrayList<>();
      client.tick(now(), out);
      carry(out);
      alarms.schedule(TICK_MICROS, this::tick);
    }
  }

  private void end(CounterReplySequencer.PendingCall waiting, CallResult result, double total) {
    order.complete(waiting, result, total, clock.now());
  }

  void close() {
    closed = true;
    order.close();
    nodes.values().forEach(NodeLine::close);
    moving.values().forEach(NodeLine::close);
  }
}
