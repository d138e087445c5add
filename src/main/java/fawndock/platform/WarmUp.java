package fawndock.platform;

import fawndock.policy.GatewayPolicy;
import fawndock.policy.config.Idempotency;
import fawndock.policy.config.Plan;
import fawndock.policy.config.PolicyConfig;
import fawndock.policy.config.RequestClass;
import fawndock.policy.event.Endpoint;
import fawndock.policy.event.EndpointState;
import fawndock.resp.CommandReader;
import fawndock.resp.ProtocolException;
import fawndock.resp.Reply;
import fawndock.resp.ReplyReader;
import fawndock.resp.ReplyWriter;
import fawndock.settings.Address;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Sends requests of its own through a throw-away gatekeeper of the same parts to a throw-away
 * worker and counter, over connections in memory, before the first client is let in. Guards against
 * a start under full load with code that is still being compiled, which costs four times as much:
 * on a third of a core the first seconds' requests ran out of time, and their clients' retries with
 * them. Delays a start by its time limit at most.
 */
final class WarmUp {
  private static final Logger LOG = LoggerFactory.getLogger(WarmUp.class);
  private static final int REQUESTS = 700;
  private static final int AT_ONCE = 6;
  private static final long LIMIT_MILLIS = 2_500;
  private final Vertx vertx;
  private final PlatformConfig config;
  private final Function<PolicyConfig, GatewayPolicy> maker;
  private final Promise<Void> done = Promise.promise();
  private PlatformGateway node;
  private int sent;
  private int answered;
  private int served;

  WarmUp(Vertx vertx, PlatformConfig config, Function<PolicyConfig, GatewayPolicy> maker) {
    this.vertx = vertx;
    this.config = config;
    this.maker = maker;
  }

  /** Never fails: a warm-up that does not work out is no reason not to start. */
  Future<Void> run() {
    long from = System.nanoTime();
    try {
      Address back = new Address("worker", 1);
      Address front = new Address("gatekeeper", 1);
      TcpTransport sockets = new InMemoryTransport(vertx.getOrCreateContext());
      EndpointList list =
          new EndpointList(
              1,
              true,
              List.of(new Endpoint("w", config.policy().zone(), 0, EndpointState.RUNNING, 1, 0)),
              Map.of("w", back));
      PlatformConfig own =
          new PlatformConfig(
              "warm-up",
              front,
              back,
              back,
              config.policy(),
              list,
              config.maxSockets(),
              config.memoryBytes(),
              config.connectTimeoutMicros(),
              config.endpointIdleTimeoutMicros(),
              config.maxRequestUnits());
      node = new PlatformGateway(vertx, sockets, own, maker);
      sockets.listen(back, Back::new);
      node.warmUp(list)
          .addListener(
              bound -> {
                for (int i = 0; i < AT_ONCE && bound.isSuccess(); i++) {
                  Client client = new Client();
                  sockets
                      .connect(front, config.connectTimeoutMicros(), client)
                      .addListener(made -> client.ask());
                }
              });
      vertx.setTimer(LIMIT_MILLIS, id -> done.tryComplete());
    } catch (RuntimeException e) {
      LOG.warn("no warm-up: {}", e.toString());
      done.tryComplete();
    }
    return done.future()
        .onComplete(
            v -> {
              LOG.info(
                  "warmed up with {} of {} requests answered in {} ms",
                  answered,
                  sent,
                  (System.nanoTime() - from) / 1_000_000);
              if (node != null) {
                node.close();
              }
            });
  }

  /** Requests that were served, not refused or failed. */
  int served() {
    return served;
  }

  private ByteBuf next() {
    RequestClass type =
        config.policy().requestClasses().get(sent % config.policy().requestClasses().size());
    Plan plan = config.policy().plans().get(sent % config.policy().plans().size());
    sent++;
    String list =
        "c="
            + type.name()
            + ",t="
            + plan.name()
            + ",d=1000"
            + (type.idempotency() == Idempotency.DEDUPLICATED ? ",k=0" : "")
            + ",units=1,spread=1,first=0";
    ByteBuf out = Unpooled.buffer(160);
    ReplyWriter writer = new ReplyWriter(out);
    writer.array(4);
    writer.bulk(type.idempotency() == Idempotency.IDEMPOTENT ? "Q.ASK" : "Q.DO");
    String number = Integer.toHexString(0x10000000 | sent);
    writer.bulk("00000000" + number);
    writer.bulk("00000000" + number);
    writer.bulk(list);
    return out;
  }

  /** One client, a request at a time. */
  private final class Client extends ByteConnection {
    private final ReplyReader reader = new ReplyReader(64 << 10, 1_024, 0);

    void ask() {
      send(next());
    }

    @Override
    void onBytes(ByteBuf in) {
      try {
        for (Reply reply = reader.next(in); reply != null; reply = reader.next(in)) {
          answered++;
          served += reply.isBulk() ? 1 : 0;
          if (answered >= REQUESTS) {
            done.tryComplete();
            close();
            return;
          }
          send(next());
        }
      } catch (ProtocolException e) {
        done.tryComplete();
      }
    }

    @Override
    void onDisconnected() {
      // The others go on.
    }
  }

  /** Worker and counter in one. */
  private static final class Back extends ByteConnection {
    private final CommandReader reader = new CommandReader(CommandReader.Limits.SERVER);

    @Override
    void onBytes(ByteBuf in) {
      try {
        for (byte[][] words = reader.next(in); words != null; words = reader.next(in)) {
          ByteBuf out = Unpooled.buffer(96);
          ReplyWriter writer = new ReplyWriter(out);
          if (new String(words[0], StandardCharsets.ISO_8859_1).equals("ADDGET")) {
            writer.bulk("0.5");
          } else {
            writer.array(3);
            writer.bulk(words[2]);
            writer.nil();
            writer.bulk("recent_ms=7.25,throughput=2.5,backlog=0");
          }
          send(out);
        }
      } catch (ProtocolException e) {
        close();
      }
    }

    @Override
    void onDisconnected() {
      // Nothing is kept.
    }
  }
}
