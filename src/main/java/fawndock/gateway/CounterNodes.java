package fawndock.gateway;

import fawndock.Gatekeeper.Count;
import fawndock.Gatekeeper.Counted;
import fawndock.Gatekeeper.Result;
import fawndock.counter.core.Amount;
import fawndock.counter.core.CountException;
import fawndock.counter.replica.NodeList;
import fawndock.counter.replica.ReplicaClient;
import fawndock.counter.replica.ReplicaClient.Ask;
import fawndock.counter.replica.ReplicaClient.End;
import fawndock.counter.replica.ReplicaClient.Fetch;
import fawndock.counter.replica.ReplicaClient.Give;
import fawndock.counter.replica.ReplicaClient.Here;
import fawndock.counter.replica.ReplicaClient.Out;
import fawndock.counter.replica.Sum;
import fawndock.host.Alarms;
import fawndock.host.InOrder;
import fawndock.host.MicroClock;
import fawndock.settings.Address;
import fawndock.settings.DaemonSettings.CounterParts;
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
  private final Alarms alarms;
  private final InOrder order;
  private final Context context;
  private final ReplicaClient client;

  /** This start of this gatekeeper; the chance that two have the same is some one in 10^18. */
  private final long origin = ThreadLocalRandom.current().nextLong(1, Long.MAX_VALUE);

  private final Map<String, NodeLine> nodes = new LinkedHashMap<>();

  /** Lines to nodes' new addresses, until they are connected. */
  private final Map<String, NodeLine> moving = new HashMap<>();

  private final Map<Long, InOrder.Place> calls = new HashMap<>();
  private boolean closed;

  CounterNodes(
      Vertx vertx,
      Context context,
      CounterParts settings,
      MicroClock clock,
      Alarms alarms,
      Consumer<Counted> told) {
    this.settings = settings;
    this.clock = clock;
    this.alarms = alarms;
    order = new InOrder(told);
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
            new ReplicaClient.Times(Math.max(1, limit / 5), limit, limit, limit));
    alarms.after(TICK_MICROS, this::tick);
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
        alarms.after(settings.timeoutMicros(), old::close);
      }
    }
  }

  private long now() {
    return clock.now() / 1_000;
  }

  void count(Count count) {
    InOrder.Place waiting = new InOrder.Place(count.name(), clock.now());
    order.begin(waiting);
    List<Out> out = new ArrayList<>();
    try {
      if (calls.size() >= settings.maxCalls()) {
        throw new CountException("too many calls are out");
      }
      Amount amount =
          Amount.of(Double.toString(count.amount()).getBytes(StandardCharsets.US_ASCII));
      long call =
          client.call(
              count.name(), amount, Math.max(1, (count.keepMicros() + 999) / 1_000), now(), out);
      calls.put(call, waiting);
    } catch (CountException e) {
      context.runOnContext(
          later -> end(waiting, Result.SHED, 0)); // The gatekeeper is still being asked.
      return;
    }
    if (out.stream().anyMatch(End.class::isInstance)) {
      context.runOnContext(later -> carry(out));
    } else {
      carry(out);
    }
  }

  private void carry(List<Out> out) {
    for (Out each : out) {
      if (each instanceof Ask ask) {
        ask(ask);
      } else if (each instanceof Here here) {
        here(here);
      } else if (each instanceof Fetch fetch) {
        list(fetch.node(), Request.cmd(NODES));
      } else if (each instanceof Give give) {
        Request request = Request.cmd(NODES);
        for (String word : give.list().toString().split(" ")) {
          request.arg(word);
        }
        list(give.node(), request);
      } else if (each instanceof End end) {
        InOrder.Place waiting = calls.remove(end.call());
        if (waiting != null) {
          end(
              waiting,
              switch (end.result()) {
                case OK -> Result.OK;
                case TIMEOUT -> Result.TIMEOUT;
                case UNREACHABLE -> Result.CONNECT_FAILED;
                case REFUSED -> Result.SHED;
              },
              end.total());
        }
      }
    }
  }

  private void here(Here here) {
    send(
        here.node(),
        Request.cmd(HERE).arg(origin).arg(here.stamp()),
        answer -> {
          if (answer.succeeded()) {
            List<Out> out = new ArrayList<>();
            client.hereAnswered(
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
            adopt(NodeList.of(text));
          }
        });
  }

  private void adopt(NodeList list) {
    List<Out> out = new ArrayList<>();
    if (!client.adopt(list, now(), out)) {
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

  private void ask(Ask ask) {
    Sum sum = ask.sum();
    send(
        ask.node(),
        Request.cmd(SUM)
            .arg(sum.name())
            .arg(sum.origin())
            .arg(sum.plus().toString())
            .arg(sum.minus().toString())
            .arg(sum.keepMillis()),
        answer -> {
          List<Out> out = new ArrayList<>();
          if (answer.succeeded()) {
            client.answered(
                ask.node(), ask.call(), Double.parseDouble(answer.result().toString()), out);
          } else if (CounterConnection.refused(answer.cause())) {
            String text = String.valueOf(answer.cause().getMessage());
            boolean notReady =
                text.startsWith("LOADING")
                    || text.startsWith("FENCED")
                    || text.startsWith("MISCONF");
            client.refused(ask.node(), ask.call(), notReady, now(), out);
          }
          carry(out);
        });
  }

  private void lost(String node, NodeLine line) {
    if (nodes.get(node) != line) {
      return;
    }
    List<Out> out = new ArrayList<>();
    client.lost(node, now(), out);
    carry(out);
  }

  private void tick() {
    if (!closed) {
      List<Out> out = new ArrayList<>();
      client.tick(now(), out);
      carry(out);
      alarms.after(TICK_MICROS, this::tick);
    }
  }

  private void end(InOrder.Place waiting, Result result, double total) {
    order.end(waiting, result, total, clock.now());
  }

  void close() {
    closed = true;
    order.close();
    nodes.values().forEach(NodeLine::close);
    moving.values().forEach(NodeLine::close);
  }
}
