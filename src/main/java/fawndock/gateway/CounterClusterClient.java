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
 * Client of a replicated counter cluster. {@link ReplicaClient} decides which node a command goes
 * to; this class manages the connections and the timers. Each call completes exactly once, and
 * calls with the same counter name complete in the order in which they were made. The client is
 * confined to one event-loop context.
 */
final class CounterClusterClient implements AutoCloseable {
  private static final Logger LOG = LoggerFactory.getLogger(CounterClusterClient.class);
  private static final long TICK_INTERVAL_MICROS = 5_000;
  private static final long MAX_BACKOFF_MICROS = 500_000;

  /**
   * Number of commands in flight to a node that is allowed in addition to calls, for heartbeats and
   * membership lists.
   */
  private static final int MAX_CONTROL_COMMANDS_IN_FLIGHT = 64;

  /** The next node is also asked after a call's timeout divided by this number. */
  private static final int HEDGE_DIVISOR = 5;

  private static final Command SUM = Command.create("FD.SUM");
  private static final Command NODES = Command.create("FD.NODES");
  private static final Command HEARTBEAT = Command.create("FD.HERE");

  /** The connection to one node at one address. */
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
                  "counter node",
                  settings.maxCallsInFlight() + MAX_CONTROL_COMMANDS_IN_FLIGHT,
                  MAX_BACKOFF_MICROS),
              this);
    }

    @Override
    public Future<?> handshake(RedisConnection newConnection) {
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

  /**
   * Random id that identifies this start of this instance; the probability that two starts have the
   * same id is about 1 in 10^18.
   */
  private final long origin = ThreadLocalRandom.current().nextLong(1, Long.MAX_VALUE);

  private final Map<String, Node> nodes = new LinkedHashMap<>();

  /**
   * Nodes that moved to a new address and are not connected there yet; the connection to the old
   * address is used until then.
   */
  private final Map<String, Node> replacements = new HashMap<>();

  private final Map<Long, CounterReplySequencer.PendingCall> pendingCalls = new HashMap<>();
  private boolean isClosed;

  /** Starts connecting to all nodes. The listener receives the replies on the context. */
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
    // The next node is asked early because the policy treats a late reply as a sign of a throttled
    // counter, and a second call is cheap.
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

  /**
   * Replaces the connection to a node's old address; that connection stays open for one call
   * timeout, since it may still reply.
   */
  private void onConnected(Node node) {
    if (replacements.remove(node.id, node)) {
      Node previous = nodes.put(node.id, node);
      if (previous != null) {
        timers.schedule(settings.timeoutMicros(), previous.connection::close);
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

  /**
   * Adds an amount to a counter. The listener receives exactly one reply, in a later turn of the
   * context.
   */
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
      // Completes in a later turn because the policy is still handling the event that caused this
      // call.
      context.runOnContext(v -> complete(call, CallResult.SHED, 0));
      return;
    }
    if (actions.stream().anyMatch(CallEnded.class::isInstance)) {
      context.runOnContext(v -> execute(actions));
    } else {
      execute(actions);
    }
  }

  private void execute(List<ClientAction> actions) {
    for (ClientAction action : actions) {
      if (action instanceof SendSum sumCommand) {
        sendSum(sumCommand);
      } else if (action instanceof SendHeartbeat heartbeat) {
        sendHeartbeat(heartbeat);
      } else if (action instanceof FetchMembership fetch) {
        exchangeMembershipList(fetch.node(), Request.cmd(NODES));
      } else if (action instanceof PushMembership push) {
        Request request = Request.cmd(NODES);
        for (String argument : push.list().toString().split(" ", 0)) {
          request.arg(argument);
        }
        exchangeMembershipList(push.node(), request);
      } else if (action instanceof CallEnded callEnded) {
        CounterReplySequencer.PendingCall call = pendingCalls.remove(callEnded.callId());
        if (call != null) {
          complete(call, callResult(callEnded.outcome()), callEnded.total());
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
        Request.cmd(HEARTBEAT).arg(origin).arg(heartbeat.stamp()),
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

  /**
   * Fetches a node's membership list or pushes a newer one to the node. A list in the reply is
   * adopted if it is newer than the current one.
   */
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
    list.addresses().forEach(this::connectIfNewOrMoved);
    execute(actions);
  }

  private void connectIfNewOrMoved(String id, String address) {
    Node current = nodes.get(id);
    if (current == null) {
      nodes.put(id, connect(id, Address.of(address)));
    } else if (!current.connection.address().toString().equals(address)) {
      // The connection to the old address is used until the new one is open. Otherwise no node
      // would be reachable for a moment after all of them have moved.
      replacements.put(id, connect(id, Address.of(address)));
    }
  }

  private void send(String node, Request request, Consumer<AsyncResult<Response>> replyHandler) {
    Node target = nodes.get(node);
    if (target != null) {
      target.connection.send(request, settings.maxCallsInFlight(), replyHandler);
    }
  }

  private void sendSum(SendSum sumCommand) {
    ReplicatedSum sum = sumCommand.sum();
    send(
        sumCommand.node(),
        Request.cmd(SUM)
            .arg(sum.name())
            .arg(sum.origin())
            .arg(sum.added().toString())
            .arg(sum.withdrawn().toString())
            .arg(sum.timeToLiveMillis()),
        reply -> onSumReply(sumCommand, reply));
  }

  private void onSumReply(SendSum sumCommand, AsyncResult<Response> reply) {
    List<ClientAction> actions = new ArrayList<>();
    if (reply.succeeded()) {
      double total = Double.parseDouble(reply.result().toString());
      client.onTotal(sumCommand.node(), sumCommand.callId(), total, actions);
    } else if (CounterConnection.isErrorReply(reply.cause())) {
      String text = String.valueOf(reply.cause().getMessage());
      boolean isNotReady =
          text.startsWith("LOADING") || text.startsWith("FENCED") || text.startsWith("MISCONF");
      client.onRejected(sumCommand.node(), sumCommand.callId(), isNotReady, nowMillis(), actions);
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

  /** Closes all connections and stops delivering replies. Closing it again has no effect. */
  @Override
  public void close() {
    isClosed = true;
    sequencer.close();
    nodes.values().forEach(node -> node.connection.close());
    replacements.values().forEach(node -> node.connection.close());
  }
}
