package fawndock.gateway;

import fawndock.counter.replication.CallOutcome;
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
import fawndock.settings.GatewaySettings.CounterService;
import io.vertx.core.AsyncResult;
import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.redis.client.Command;
import io.vertx.redis.client.RedisConnection;
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
 * Client of a replicated counter cluster. {@link ReplicaClient} decides which node is asked; this
 * keeps the connections and the time, and completes the calls of a name in the order in which they
 * were made, each once. One context.
 */
final class CounterClusterClient implements AutoCloseable {
  private static final Logger LOG = LoggerFactory.getLogger(CounterClusterClient.class);
  private static final long TICK_INTERVAL_MICROS = 5_000;
  private static final long MAX_BACKOFF_MICROS = 500_000;

  /** Commands in flight to a node beside those of calls, such as membership lists. */
  private static final int EXTRA_COMMANDS = 64;

  /** Share of a call's timeout after which the next node is asked as well. */
  private static final int HEDGE_DIVISOR = 5;

  private static final Command SUM = Command.create("FD.SUM");
  private static final Command NODES = Command.create("FD.NODES");
  private static final Command HERE = Command.create("FD.HERE");

  /** The connection to one node, for as long as its address stays. */
  private final class Node implements CounterConnection.Listener {
    final String id;
    final CounterConnection connection;

    Node(String id, Address address) {
      this.id = id;
      connection =
          new CounterConnection(
              vertx,
              context,
              address,
              timers,
              new CounterConnection.Options(
                  "counter node", settings.maxCallsInFlight() + EXTRA_COMMANDS, MAX_BACKOFF_MICROS),
              this);
    }

    @Override
    public Future<?> onConnecting(RedisConnection connecting) {
      return Future.succeededFuture();
    }

    @Override
    public void onConnected() {
      CounterClusterClient.this.onConnected(this);
    }

    @Override
    public void onLost() {
      CounterClusterClient.this.onLost(this);
    }
  }

  private final Vertx vertx;
  private final CounterService settings;
  private final MicroClock clock;
  private final Timers timers;
  private final CounterReplySequencer sequencer;
  private final Context context;
  private final ReplicaClient client;

  /** This start of this instance; two starts have the same with a chance of some one in 10^18. */
  private final long origin = ThreadLocalRandom.current().nextLong(1, Long.MAX_VALUE);

  private final Map<String, Node> nodes = new LinkedHashMap<>();

  /** Nodes at a new address that are not connected yet; the old one is used meanwhile. */
  private final Map<String, Node> replacements = new HashMap<>();

  private final Map<Long, CounterReplySequencer.PendingCall> pendingCalls = new HashMap<>();
  private boolean isClosed;

  /** Connects to all nodes; replies are given to the listener on the context. */
  CounterClusterClient(
      Vertx vertx,
      Context context,
      CounterService settings,
      MicroClock clock,
      Timers timers,
      Consumer<CounterReply> replyListener) {
    this.vertx = vertx;
    this.context = context;
    this.settings = settings;
    this.clock = clock;
    this.timers = timers;
    sequencer = new CounterReplySequencer(replyListener);
    settings.clusterNodes().forEach((id, address) -> nodes.put(id, connect(id, address)));
    long timeoutMillis = Math.max(2, settings.timeoutMicros() / 1_000);
    // The next node is asked early: the policy takes a late reply for a throttled counter, and a
    // second call costs little.
    client =
        new ReplicaClient(
            origin,
            List.copyOf(nodes.keySet()),
            new ClientTimeouts(
                Math.max(1, timeoutMillis / HEDGE_DIVISOR),
                timeoutMillis,
                timeoutMillis,
                timeoutMillis));
    timers.schedule(TICK_INTERVAL_MICROS, this::tick);
  }

  private Node connect(String id, Address address) {
    Node node = new Node(id, address);
    node.connection.connect();
    return node;
  }

  /** A node at a new address replaces the old one, which may still reply for a call's timeout. */
  private void onConnected(Node node) {
    if (replacements.remove(node.id, node)) {
      Node old = nodes.put(node.id, node);
      if (old != null) {
        timers.schedule(settings.timeoutMicros(), old.connection::close);
      }
    }
  }

  private void onLost(Node node) {
    if (nodes.get(node.id) != node) {
      return;
    }
    List<ClientAction> actions = new ArrayList<>();
    client.onConnectionLost(node.id, nowMillis(), actions);
    execute(actions);
  }

  private long nowMillis() {
    return clock.nowMicros() / 1_000;
  }

  /** Adds to a count; exactly one reply is given, in a later turn of the context. */
  void add(AddToCounter command) {
    CounterReplySequencer.PendingCall call =
        new CounterReplySequencer.PendingCall(command.counterName(), clock.nowMicros());
    sequencer.begin(call);
    List<ClientAction> actions = new ArrayList<>();
    try {
      if (pendingCalls.size() >= settings.maxCallsInFlight()) {
        throw new CommandException("too many calls are in flight");
      }
      DecimalAmount amount =
          DecimalAmount.parse(
              Double.toString(command.amount()).getBytes(StandardCharsets.US_ASCII));
      long timeToLiveMillis = Math.max(1, (command.timeToLiveMicros() + 999) / 1_000);
      long id = client.add(command.counterName(), amount, timeToLiveMillis, nowMillis(), actions);
      pendingCalls.put(id, call);
    } catch (CommandException e) {
      // In a later turn, since the policy is still handling the event that led to this call.
      context.runOnContext(later -> complete(call, CallResult.SHED, 0));
      return;
    }
    if (actions.stream().anyMatch(CallEnded.class::isInstance)) {
      context.runOnContext(later -> execute(actions));
    } else {
      execute(actions);
    }
  }

  private void execute(List<ClientAction> actions) {
    for (ClientAction each : actions) {
      if (each instanceof SendSum action) {
        sendSum(action);
      } else if (each instanceof SendHeartbeat heartbeat) {
        sendHeartbeat(heartbeat);
      } else if (each instanceof FetchMembership fetch) {
        exchangeMembershipList(fetch.node(), Request.cmd(NODES));
      } else if (each instanceof PushMembership push) {
        Request request = Request.cmd(NODES);
        for (String word : push.list().toString().split(" ", 0)) {
          request.arg(word);
        }
        exchangeMembershipList(push.node(), request);
      } else if (each instanceof CallEnded end) {
        CounterReplySequencer.PendingCall call = pendingCalls.remove(end.callId());
        if (call != null) {
          complete(call, callResult(end.outcome()), end.total());
        }
      }
    }
  }

  private static CallResult callResult(CallOutcome outcome) {
    return switch (outcome) {
      case OK -> CallResult.OK;
      case TIMEOUT -> CallResult.TIMEOUT;
      case UNREACHABLE -> CallResult.CONNECT_FAILED;
      case REJECTED -> CallResult.SHED;
    };
  }

  private void sendHeartbeat(SendHeartbeat heartbeat) {
    send(
        heartbeat.node(),
        Request.cmd(HERE).arg(origin).arg(heartbeat.stamp()),
        reply -> {
          if (reply.succeeded()) {
            List<ClientAction> actions = new ArrayList<>();
            client.onHeartbeatReply(
                heartbeat.node(),
                reply.result().get(0).toInteger() == 1,
                reply.result().get(1).toLong(),
                actions);
            execute(actions);
          }
        });
  }

  /** Asks a node for its membership list, or gives it a newer one; adopts the reply if newer. */
  private void exchangeMembershipList(String node, Request request) {
    send(
        node,
        request,
        reply -> {
          String text = reply.succeeded() ? reply.result().toString() : "";
          if (!text.isEmpty()) {
            adopt(MembershipList.parse(text));
          }
        });
  }

  private void adopt(MembershipList list) {
    List<ClientAction> actions = new ArrayList<>();
    if (!client.adoptMembership(list, nowMillis(), actions)) {
      return;
    }
    LOG.info("counter membership list adopted: list=\"{}\"", list);
    for (String id : List.copyOf(nodes.keySet())) {
      if (!list.addresses().containsKey(id)) {
        nodes.remove(id).connection.close();
      }
    }
    replacements.values().forEach(node -> node.connection.close());
    replacements.clear();
    list.addresses().forEach(this::connectIfMoved);
    execute(actions);
  }

  private void connectIfMoved(String id, String address) {
    Node current = nodes.get(id);
    if (current == null) {
      nodes.put(id, connect(id, Address.of(address)));
    } else if (!current.connection.address().toString().equals(address)) {
      // The old address is used until the new one is connected, since otherwise there would be no
      // node at all for a moment when all have moved.
      replacements.put(id, connect(id, Address.of(address)));
    }
  }

  private void send(String node, Request request, Consumer<AsyncResult<Response>> replyHandler) {
    Node to = nodes.get(node);
    if (to != null) {
      to.connection.send(request, settings.maxCallsInFlight(), replyHandler);
    }
  }

  private void sendSum(SendSum action) {
    ReplicatedSum sum = action.sum();
    send(
        action.node(),
        Request.cmd(SUM)
            .arg(sum.name())
            .arg(sum.origin())
            .arg(sum.added().toString())
            .arg(sum.withdrawn().toString())
            .arg(sum.timeToLiveMillis()),
        reply -> onSumReply(action, reply));
  }

  private void onSumReply(SendSum action, AsyncResult<Response> reply) {
    List<ClientAction> actions = new ArrayList<>();
    if (reply.succeeded()) {
      double total = Double.parseDouble(reply.result().toString());
      client.onTotal(action.node(), action.callId(), total, actions);
    } else if (CounterConnection.isErrorReply(reply.cause())) {
      String text = String.valueOf(reply.cause().getMessage());
      boolean isNotReady =
          text.startsWith("LOADING") || text.startsWith("FENCED") || text.startsWith("MISCONF");
      client.onRejected(action.node(), action.callId(), isNotReady, nowMillis(), actions);
    }
    execute(actions);
  }

  private void tick() {
    if (!isClosed) {
      List<ClientAction> actions = new ArrayList<>();
      client.tick(nowMillis(), actions);
      execute(actions);
      timers.schedule(TICK_INTERVAL_MICROS, this::tick);
    }
  }

  private void complete(CounterReplySequencer.PendingCall call, CallResult result, double total) {
    sequencer.complete(call, result, total, clock.nowMicros());
  }

  /** Closes all connections; no reply is given any more. Closing it again has no effect. */
  @Override
  public void close() {
    isClosed = true;
    sequencer.close();
    nodes.values().forEach(node -> node.connection.close());
    replacements.values().forEach(node -> node.connection.close());
  }
}
