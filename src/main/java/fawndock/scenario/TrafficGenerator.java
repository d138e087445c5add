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
 * Open-loop traffic of a few customers: Poisson arrivals, each to a gateway by chance, and clients
 * that try again as their class allows, some of which leave early. A generator of its own for
 * drills and the demo.
 */
public final class TrafficGenerator {
  /** A customer and how much it asks, requests a second. */
  public record Customer(String name, String apiKey, double requestsPerSecond) {}

  /** A kind of request and its share of all. */
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
  private final IntUnaryOperator port;
  private final int gatewayCount;
  private final SplittableRandom random;
  private final AtomicInteger inFlightCount = new AtomicInteger();
  private final AtomicLongArray countByStatus = new AtomicLongArray(600);
  private final Map<String, AtomicLongArray> countByCustomer = new ConcurrentHashMap<>();
  private final Map<String, Double> factorByPrefix = new ConcurrentHashMap<>();
  private volatile double rateFactor = 1;
  private volatile double earlyDisconnectRatio;
  private volatile double hotGatewayRatio;
  private volatile boolean isRetryAbuse;
  private final AtomicInteger shifts = new AtomicInteger();
  private volatile boolean stopped;
  private String name = "op";
  private int maxAttempts = 3;
  private int gatewaysPerCustomer;
  private double dueArrivals;
  private long operations;
  private long lastTick;
  private long timer = -1;

  /**
   * @param port of each gateway by its number
   */
  public TrafficGenerator(
      Vertx vertx,
      RawHttpClient client,
      List<RequestKind> kinds,
      List<Customer> customers,
      int gateways,
      IntUnaryOperator port,
      long seed) {
    this.vertx = vertx;
    this.client = client;
    this.kinds = kinds;
    this.customers = customers;
    this.gatewayCount = gateways;
    this.port = port;
    this.random = new SplittableRandom(seed);
  }

  /** Begins; on the event loop of the caller's context from then on. */
  public void start() {
    lastTick = System.nanoTime();
    timer = vertx.setPeriodic(2, id -> tick());
  }

  /**
   * Nothing is asked any more, nor tried again. Guards against a request that is asked while its
   * trace is read: it would stand there without its answer.
   */
  public void stop() {
    stopped = true;
    vertx.cancelTimer(timer);
  }

  /** All customers ask so many times as much from now on. */
  public void setRateFactor(double times) {
    rateFactor = times;
  }

  /** This share of the clients leaves early and tries again at once from now on. */
  public void setEarlyDisconnectRatio(double share) {
    earlyDisconnectRatio = share;
  }

  /** Customers whose names begin so ask so many times as much from now on. */
  public void setRateFactorOf(String prefix, double times) {
    factorByPrefix.put(prefix, times);
  }

  /** This share of the requests goes to the busiest gateway of its customer from now on. */
  public void setHotGatewayRatio(double share) {
    hotGatewayRatio = share;
  }

  /** Other gateways become the busiest of their customers. */
  public void shiftHotGateways() {
    shifts.incrementAndGet();
  }

  /** Clients try again at once, whatever they are told, and more often. */
  public void setRetryAbuse(boolean on) {
    isRetryAbuse = on;
  }

  /** The most tries of one operation. */
  public TrafficGenerator withMaxAttempts(int most) {
    maxAttempts = most;
    return this;
  }

  /** What its operations are named after, where there are several at once. */
  public TrafficGenerator withOperationPrefix(String what) {
    name = what;
    return this;
  }

  /** Each customer comes through so many gateways in a row, unevenly; the first by its name. */
  public TrafficGenerator withGatewaysPerCustomer(int some) {
    gatewaysPerCustomer = some;
    return this;
  }

  /** Requests without an end. */
  public int inFlightCount() {
    return inFlightCount.get();
  }

  /** Final answers with this status so far; 0 counts those that had none. */
  public long completedCount(int status) {
    return countByStatus.get(status);
  }

  /** The same of one customer. */
  public long completedCount(String customer, int status) {
    AtomicLongArray all = countByCustomer.get(customer);
    return all == null ? 0 : all.get(status);
  }

  private void tick() {
    long now = System.nanoTime();
    double seconds = Math.min(0.5, (now - lastTick) / 1e9);
    lastTick = now;
    double rate = customers.stream().mapToDouble(this::rate).sum();
    dueArrivals += rate * rateFactor * seconds;
    while (dueArrivals > 0) {
      dueArrivals +=
          Math.log(
              1 - random.nextDouble()); // Gaps between arrivals are exponential, of mean 1 here.
      send(pickCustomer(rate), pickKind(), name + operations++, 0);
    }
  }

  private double rate(Customer customer) {
    double rate = customer.requestsPerSecond();
    for (Map.Entry<String, Double> each : factorByPrefix.entrySet()) {
      rate *= customer.name().startsWith(each.getKey()) ? each.getValue() : 1;
    }
    return rate;
  }

  private int pickGateway(Customer customer) {
    if (gatewaysPerCustomer == 0) {
      return random.nextInt(gatewayCount);
    }
    double u = random.nextDouble();
    int place = random.nextDouble() < hotGatewayRatio ? 0 : (int) (gatewaysPerCustomer * u * u);
    return (Math.floorMod(customer.name().hashCode(), gatewayCount)
            + (place + shifts.get()) % gatewaysPerCustomer)
        % gatewayCount;
  }

  private Customer pickCustomer(double rate) {
    double at = random.nextDouble() * rate;
    for (Customer each : customers) {
      at -= rate(each);
      if (at < 0) {
        return each;
      }
    }
    return customers.get(customers.size() - 1);
  }

  private RequestKind pickKind() {
    double at = random.nextDouble();
    for (RequestKind each : kinds) {
      at -= each.share();
      if (at < 0) {
        return each;
      }
    }
    return kinds.get(kinds.size() - 1);
  }

  private void send(Customer customer, RequestKind kind, String operation, int attempt) {
    if (stopped || inFlightCount.get() >= MAX_IN_FLIGHT) {
      return; // Over, or not offered: the machine is behind.
    }
    inFlightCount.incrementAndGet();
    int gateway = pickGateway(customer);
    boolean leaves =
        kind.idempotency() != Idempotency.AT_MOST_ONCE
            && random.nextDouble() < earlyDisconnectRatio;
    String key = kind.idempotency() == Idempotency.DEDUPLICATED ? operation : null;
    client.send(
        new RawHttpClient.RequestSpec(
            operation + "." + attempt,
            gateway,
            port.applyAsInt(gateway),
            kind.method(),
            kind.path(),
            kind.requestClass(),
            customer.apiKey(),
            customer.name(),
            1,
            kind.timeoutMicros(),
            key,
            leaves ? 5_000 + random.nextInt(60_000) : 0),
        end -> {
          inFlightCount.decrementAndGet();
          countByStatus.incrementAndGet(end.status());
          countByCustomer
              .computeIfAbsent(customer.name(), name -> new AtomicLongArray(600))
              .incrementAndGet(end.status());
          retryIfAllowed(customer, kind, operation, attempt, end);
        });
  }

  private void retryIfAllowed(
      Customer customer,
      RequestKind kind,
      String operation,
      int attempt,
      RawHttpClient.ExchangeResult end) {
    // A request that may have run is the client's to repeat only when its class allows that.
    boolean harmless =
        end.status() == 429
            || end.status() == 503
            || (kind.idempotency() == Idempotency.IDEMPOTENT && end.status() != 200);
    if (attempt + 1 >= (isRetryAbuse ? 2 * maxAttempts : maxAttempts)
        || end.status() == 200
        || (!harmless && !end.hasDisconnected())) {
      return;
    }
    long wait =
        end.hasDisconnected() || isRetryAbuse
            ? 1
            : end.status() == 429 && random.nextBoolean()
                ? 1_000L * Math.max(1, end.retryAfterSeconds())
                : 50 + random.nextInt(200);
    vertx.setTimer(wait, id -> send(customer, kind, operation, attempt + 1));
  }
}
