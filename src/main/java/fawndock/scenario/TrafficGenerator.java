package fawndock.scenario;

import fawndock.fake.RawHttpClient;
import fawndock.policy.config.Idempotency;
import io.vertx.core.Vertx;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLongArray;
import java.util.function.IntUnaryOperator;

/**
 * Open-loop traffic of several customers with Poisson arrivals. Each request goes to a random
 * gateway; clients retry as the request class allows, and some disconnect early. Requests are sent
 * on an event loop; the {@code set} methods and the counts may be used from any thread. The class
 * is independent of the load generator in {@code fawndock.loadgen}.
 */
public final class TrafficGenerator {
  /** A customer and its request rate. */
  public record Customer(String name, String apiKey, double requestsPerSecond) {}

  /** A kind of request and its share of all requests. */
  public record RequestKind(
      String requestClass,
      String method,
      String path,
      Idempotency idempotency,
      long timeoutMicros,
      double share) {}

  private static final int MAX_IN_FLIGHT = 4_000;
  private final Vertx vertx;
  private final RawHttpClient client;
  private final List<RequestKind> kinds;
  private final List<Customer> customers;
  private final IntUnaryOperator portByGateway;
  private final int gatewayCount;
  private final SplittableRandom random;
  private final AtomicInteger inFlightCount = new AtomicInteger();
  private final AtomicLongArray countByStatus = new AtomicLongArray(600);
  private final Map<String, AtomicLongArray> countByCustomer = new ConcurrentHashMap<>();
  private final Map<String, Double> factorByPrefix = new ConcurrentHashMap<>();
  private volatile double rateFactor = 1;
  private volatile double earlyDisconnectRatio;
  private volatile double hotGatewayRatio;
  private volatile boolean retryAbuse;
  private final AtomicInteger hotGatewayShift = new AtomicInteger();
  private volatile boolean stopped;
  private String operationPrefix = "op";
  private int maxAttempts = 3;
  private int gatewaysPerCustomer;
  private double dueArrivals;
  private long operationCount;
  private long lastTickNanos;
  private long timer = -1;

  /**
   * @param portByGateway returns the port of a gateway, given its index
   */
  public TrafficGenerator(
      Vertx vertx,
      RawHttpClient client,
      List<RequestKind> kinds,
      List<Customer> customers,
      int gatewayCount,
      IntUnaryOperator portByGateway,
      long seed) {
    this.vertx = vertx;
    this.client = client;
    this.kinds = kinds;
    this.customers = customers;
    this.gatewayCount = gatewayCount;
    this.portByGateway = portByGateway;
    this.random = new SplittableRandom(seed);
  }

  /** Starts sending on the event loop of the caller's context. */
  public void start() {
    lastTickNanos = System.nanoTime();
    timer = vertx.setPeriodic(2, id -> tick());
  }

  /**
   * Stops new requests and retries. Without that, a request could be sent while the trace is read,
   * and would appear in it without its response.
   */
  public void stop() {
    stopped = true;
    vertx.cancelTimer(timer);
  }

  /** Sets the factor that multiplies the base request rate of all customers. */
  public void setRateFactor(double factor) {
    rateFactor = factor;
  }

  /** Sets the ratio of clients that disconnect early and then retry immediately. */
  public void setEarlyDisconnectRatio(double ratio) {
    earlyDisconnectRatio = ratio;
  }

  /** Sets a further factor for the request rate of customers whose names start with the prefix. */
  public void setRateFactorOf(String prefix, double factor) {
    factorByPrefix.put(prefix, factor);
  }

  /** Sets the ratio of requests that go to the busiest gateway of their customer. */
  public void setHotGatewayRatio(double ratio) {
    hotGatewayRatio = ratio;
  }

  /** Makes the next gateway of each customer its busiest one. */
  public void shiftHotGateways() {
    hotGatewayShift.incrementAndGet();
  }

  /** Makes clients retry immediately, whatever Retry-After says, and with twice the attempts. */
  public void setRetryAbuse(boolean enabled) {
    retryAbuse = enabled;
  }

  /** Sets the maximum number of attempts of an operation. */
  public TrafficGenerator withMaxAttempts(int limit) {
    maxAttempts = limit;
    return this;
  }

  /** Sets the prefix of operation names, which must differ between concurrent generators. */
  public TrafficGenerator withOperationPrefix(String prefix) {
    operationPrefix = prefix;
    return this;
  }

  /**
   * Sends the requests of each customer, unevenly, through so many consecutive gateways. The first
   * of them is chosen by a hash of the customer name.
   */
  public TrafficGenerator withGatewaysPerCustomer(int count) {
    gatewaysPerCustomer = count;
    return this;
  }

  /** Returns the number of requests that have not completed. */
  public int inFlightCount() {
    return inFlightCount.get();
  }

  /** Returns the number of requests completed with a status; status 0 means without a response. */
  public long completedCount(int status) {
    return countByStatus.get(status);
  }

  /** Returns the number of requests of a customer completed with a status. */
  public long completedCount(String customer, int status) {
    AtomicLongArray counts = countByCustomer.get(customer);
    return counts == null ? 0 : counts.get(status);
  }

  private void tick() {
    long nowNanos = System.nanoTime();
    double seconds = Math.min(0.5, (nowNanos - lastTickNanos) / 1e9);
    lastTickNanos = nowNanos;
    double totalRate = customers.stream().mapToDouble(this::rate).sum();
    dueArrivals += totalRate * rateFactor * seconds;
    while (dueArrivals > 0) {
      dueArrivals +=
          Math.log(1 - random.nextDouble()); // Exponential interarrival times, scaled to mean 1.
      send(pickCustomer(totalRate), pickKind(), operationPrefix + operationCount++, 0);
    }
  }

  private double rate(Customer customer) {
    double rate = customer.requestsPerSecond();
    for (Map.Entry<String, Double> entry : factorByPrefix.entrySet()) {
      rate *= customer.name().startsWith(entry.getKey()) ? entry.getValue() : 1;
    }
    return rate;
  }

  private int pickGateway(Customer customer) {
    if (gatewaysPerCustomer == 0) {
      return random.nextInt(gatewayCount);
    }
    double uniform = random.nextDouble();
    int offset =
        random.nextDouble() < hotGatewayRatio ? 0 : (int) (gatewaysPerCustomer * uniform * uniform);
    return (Math.floorMod(customer.name().hashCode(), gatewayCount)
            + (offset + hotGatewayShift.get()) % gatewaysPerCustomer)
        % gatewayCount;
  }

  private Customer pickCustomer(double totalRate) {
    double remaining = random.nextDouble() * totalRate;
    for (Customer customer : customers) {
      remaining -= rate(customer);
      if (remaining < 0) {
        return customer;
      }
    }
    return customers.get(customers.size() - 1);
  }

  private RequestKind pickKind() {
    double remaining = random.nextDouble();
    for (RequestKind kind : kinds) {
      remaining -= kind.share();
      if (remaining < 0) {
        return kind;
      }
    }
    return kinds.get(kinds.size() - 1);
  }

  private void send(Customer customer, RequestKind kind, String operation, int attempt) {
    if (stopped || inFlightCount.get() >= MAX_IN_FLIGHT) {
      return; // Stopped, or the machine cannot keep up with the offered load.
    }
    inFlightCount.incrementAndGet();
    int gateway = pickGateway(customer);
    boolean disconnectsEarly =
        kind.idempotency() != Idempotency.AT_MOST_ONCE
            && random.nextDouble() < earlyDisconnectRatio;
    String idempotencyKey = kind.idempotency() == Idempotency.DEDUPLICATED ? operation : null;
    client.send(
        new RawHttpClient.RequestSpec(
            operation + "." + attempt,
            gateway,
            portByGateway.applyAsInt(gateway),
            kind.method(),
            kind.path(),
            kind.requestClass(),
            customer.apiKey(),
            customer.name(),
            1,
            kind.timeoutMicros(),
            idempotencyKey,
            disconnectsEarly ? 5_000 + random.nextInt(60_000) : 0),
        result -> {
          inFlightCount.decrementAndGet();
          countByStatus.incrementAndGet(result.status());
          countByCustomer
              .computeIfAbsent(customer.name(), customerName -> new AtomicLongArray(600))
              .incrementAndGet(result.status());
          retryIfAllowed(customer, kind, operation, attempt, result);
        });
  }

  private void retryIfAllowed(
      Customer customer,
      RequestKind kind,
      String operation,
      int attempt,
      RawHttpClient.ExchangeResult result) {
    // A client may retry a request that may have been executed only if its class allows that.
    boolean isRetrySafe =
        result.status() == 429
            || result.status() == 503
            || (kind.idempotency() == Idempotency.IDEMPOTENT && result.status() != 200);
    if (attempt + 1 >= (retryAbuse ? 2 * maxAttempts : maxAttempts)
        || result.status() == 200
        || (!isRetrySafe && !result.hasDisconnected())) {
      return;
    }
    long delayMillis =
        result.hasDisconnected() || retryAbuse
            ? 1
            : result.status() == 429 && random.nextBoolean()
                ? 1_000L * Math.max(1, result.retryAfterSeconds())
                : 50 + random.nextInt(200);
    vertx.setTimer(delayMillis, id -> send(customer, kind, operation, attempt + 1));
  }
}
