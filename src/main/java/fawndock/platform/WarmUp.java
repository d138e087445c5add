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
import fawndock.runtime.WarmUpProgress;
import fawndock.settings.Address;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Warms up the JIT compiler before the first client is accepted: sends requests through a temporary
 * gateway to a temporary backend and counter, over in-memory connections. Code that is not compiled
 * yet takes four times as long, so that on a slow core the requests of the first seconds would
 * exceed their deadlines. Delays startup by at most its time limit; confined to one event loop.
 */
final class WarmUp {
  private static final Logger LOG = LoggerFactory.getLogger(WarmUp.class);
  private static final int REQUEST_COUNT = 700;
  private static final int CLIENT_COUNT = 6;
  private static final long TIME_LIMIT_MILLIS = 2_500;
  private static final String ENDPOINT_ID = "w";
  private static final Address BACKEND_ADDRESS = new Address("worker", 1);
  private static final Address GATEWAY_ADDRESS = new Address("gatekeeper", 1);

  private final Vertx vertx;
  private final PlatformConfig config;
  private final Function<PolicyConfig, GatewayPolicy> policyFactory;
  private final WarmUpProgress progress;
  private PlatformGateway gateway;

  WarmUp(Vertx vertx, PlatformConfig config, Function<PolicyConfig, GatewayPolicy> policyFactory) {
    this.vertx = vertx;
    this.config = config;
    this.policyFactory = policyFactory;
    progress = new WarmUpProgress(vertx, REQUEST_COUNT, TIME_LIMIT_MILLIS);
  }

  /** Runs the warm-up. The future never fails. */
  Future<Void> run() {
    long startNanos = System.nanoTime();
    try {
      start();
    } catch (RuntimeException e) {
      // The gateway serves without a warm-up too, but more slowly at first.
      LOG.warn("warm-up failed: reason={}", e.toString());
      progress.complete();
    }
    return progress.completion().onComplete(v -> finish(startNanos));
  }

  private void start() {
    TcpTransport transport = new InMemoryTransport(vertx.getOrCreateContext());
    EndpointList endpoints = endpoints();
    gateway = new PlatformGateway(vertx, transport, warmUpConfig(endpoints), policyFactory);
    // In memory, listening cannot fail.
    var unused = transport.listen(BACKEND_ADDRESS, Backend::new);
    gateway
        .startForWarmUp(endpoints)
        .addListener(
            bound -> {
              for (int i = 0; i < CLIENT_COUNT && bound.isSuccess(); i++) {
                connectClient(transport);
              }
            });
  }

  private void connectClient(TcpTransport transport) {
    Client client = new Client();
    transport
        .connect(GATEWAY_ADDRESS, config.connectTimeoutMicros(), client)
        .addListener(connected -> client.sendRequest());
  }

  private EndpointList endpoints() {
    Endpoint endpoint =
        new Endpoint(ENDPOINT_ID, config.policy().zone(), 0, EndpointState.RUNNING, 1, 0);
    return new EndpointList(1, true, List.of(endpoint), Map.of(ENDPOINT_ID, BACKEND_ADDRESS));
  }

  private PlatformConfig warmUpConfig(EndpointList endpoints) {
    return new PlatformConfig(
        "warm-up",
        GATEWAY_ADDRESS,
        BACKEND_ADDRESS,
        BACKEND_ADDRESS,
        config.policy(),
        endpoints,
        config.maxSockets(),
        config.memoryBytes(),
        config.connectTimeoutMicros(),
        config.endpointIdleTimeoutMicros(),
        config.maxRequestUnits());
  }

  private void finish(long startNanos) {
    LOG.info(
        "warm-up finished: responses={} requests={} duration_ms={}",
        progress.responseCount(),
        progress.requestCount(),
        (System.nanoTime() - startNanos) / 1_000_000);
    if (gateway != null) {
      gateway.close();
    }
  }

  /** Returns how many requests were served, rather than rejected or failed. */
  int servedCount() {
    return progress.servedCount();
  }

  private ByteBuf encodeNextRequest() {
    int requestNumber = progress.nextRequest();
    List<RequestClass> classes = config.policy().requestClasses();
    List<Plan> plans = config.policy().plans();
    RequestClass requestClass = classes.get((requestNumber - 1) % classes.size());
    Plan plan = plans.get((requestNumber - 1) % plans.size());
    String id = "00000000" + Integer.toHexString(0x10000000 | requestNumber);
    ByteBuf out = Unpooled.buffer(160);
    ReplyWriter writer = new ReplyWriter(out);
    writer.beginArray(4);
    writer.bulkString(
        requestClass.idempotency() == Idempotency.IDEMPOTENT
            ? PlatformProtocol.COMMAND_IDEMPOTENT
            : PlatformProtocol.COMMAND_NOT_IDEMPOTENT);
    writer.bulkString(id);
    writer.bulkString(id);
    writer.bulkString(attributeList(requestClass, plan));
    return out;
  }

  private static String attributeList(RequestClass requestClass, Plan plan) {
    boolean needsKey = requestClass.idempotency() == Idempotency.DEDUPLICATED;
    return PlatformProtocol.FIELD_REQUEST_CLASS
        + "="
        + requestClass.name()
        + ","
        + PlatformProtocol.FIELD_PLAN
        + "="
        + plan.name()
        + ","
        + PlatformProtocol.FIELD_TIMEOUT_MILLIS
        + "=1000"
        + (needsKey ? "," + PlatformProtocol.FIELD_IDEMPOTENCY_KEY + "=0" : "")
        + ","
        + PlatformProtocol.FIELD_UNITS
        + "=1,"
        + PlatformProtocol.FIELD_INSTANCE_COUNT
        + "=1,"
        + PlatformProtocol.FIELD_FIRST_INSTANCE
        + "=0";
  }

  /** A client with one request in flight at a time. */
  private final class Client extends ByteConnection {
    private final ReplyReader reader = new ReplyReader(64 << 10, 1_024, 0);

    void sendRequest() {
      // If the request cannot be written, no response arrives and the time limit ends the warm-up.
      var unused = send(encodeNextRequest());
    }

    @Override
    void onBytes(ByteBuf in) {
      try {
        for (Reply reply = reader.next(in); reply != null; reply = reader.next(in)) {
          progress.onResponse(reply.isBulk());
          if (progress.isComplete()) {
            close();
            return;
          }
          sendRequest();
        }
      } catch (ProtocolException e) {
        progress.complete();
      }
    }

    @Override
    void onDisconnected() {
      // The other clients continue.
    }
  }

  /** A server that acts as both backend and counter. */
  private static final class Backend extends ByteConnection {
    private static final String LOAD_REPORT = "recent_ms=7.25,throughput=2.5,backlog=0";
    private static final String COUNTER_TOTAL = "0.5";

    private final CommandReader reader = new CommandReader(CommandReader.Limits.SERVER);

    @Override
    void onBytes(ByteBuf in) {
      try {
        for (byte[][] arguments = reader.next(in); arguments != null; arguments = reader.next(in)) {
          // If the response cannot be written, the time limit ends the warm-up.
          var unused = send(response(arguments));
        }
      } catch (ProtocolException e) {
        close();
      }
    }

    private static ByteBuf response(byte[][] arguments) {
      ByteBuf out = Unpooled.buffer(96);
      ReplyWriter writer = new ReplyWriter(out);
      String command = new String(arguments[0], StandardCharsets.ISO_8859_1);
      if (command.equals(PlatformProtocol.COMMAND_ADD_AND_GET)) {
        writer.bulkString(COUNTER_TOTAL);
      } else {
        writer.beginArray(3);
        writer.bulkString(arguments[2]);
        writer.nullValue();
        writer.bulkString(LOAD_REPORT);
      }
      return out;
    }

    @Override
    void onDisconnected() {
      // There is nothing to release.
    }
  }
}
