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
 * Open-loop traffic of a few customers: Poisson arrivals, each to a gatekeeper by chance, and
 * clients that try again as their class allows, some of which leave early. A generator of its own
 * for drills and the demo.
 */
public final class Traffic {
  /** A customer and how much it asks, requests a second. */
  public record Customer(String name, String key, double rate) {}

  /** A kind of request and its share of all. */
  public record Kind(
      String type,
      String method,
      String path,
      Idempotency repeat,
      long remainingMicros,
      double share) {}

  private static final int MOST_AT_ONCE = 4_000;
  private final Vertx vertx;
  private final RawHttpClient client;
  private final List<Kind> kinds;
  private final List<Customer> customers;
  private final IntUnaryOperator port;
  private final int gatekeepers;
  private final SplittableRandom random;
  private final AtomicInteger open = new AtomicInteger();
  private final AtomicLongArray statuses = new AtomicLongArray(600);
  private final Map<String, AtomicLongArray> byCustomer = new ConcurrentHashMap<>();
  private final Map<String, Double> factors = new ConcurrentHashMap<>();
  private volatile double factor = 1;
  private volatile double leaving;
  private volatile double hot;
  private volatile boolean abuse;
  private volatile int shifts;
  private volatile boolean stopped;
  private String name = "op";
  private int tries = 3;
  private int spread;
  private double debt;
  private long operations;
  private long lastTick;
  private long timer = -1;

  /**
   * @param port of each gatekeeper by its number
   */
  public Traffic(
      Vertx vertx,
      RawHttpClient client,
      List<Kind> kinds,
      List<Customer> customers,
      int gatekeepers,
      IntUnaryOperator port,
      long seed) {
    this.vertx = vertx;
    this.client = client;
    this.kinds = kinds;
    this.customers = customers;
    this.gatekeepers = gatekeepers;
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
  public void factor(double times) {
    factor = times;
  }

  /** This share of the clients leaves early and tries again at once from now on. */
  public void leaving(double share) {
    leaving = share;
  }

  /** Customers whose names begin so ask so many times as much from now on. */
  public void factorOf(String prefix, double times) {
    factors.put(prefix, times);
  }

  /** This share of the requests goes to the busiest gatekeeper of its customer from now on. */
  public void hot(double share) {
    hot = share;
  }

  /** Other gatekeepers become the busiest of their customers. */
  public void shift() {
    shifts++;
  }

  /** Clients try again at once, whatever they are told, and more often. */
  public void abuse(boolean on) {
    abuse = on;
  }

  /** The most tries of one operation. */
  public Traffic tries(int most) {
    tries = most;
    return this;
  }

  /** What its operations are named after, where there are several at once. */
  public Traffic named(String what) {
    name = what;
    return this;
  }

  /** Each customer comes through so many gatekeepers in a row, unevenly; the first by its name. */
  public Traffic through(int some) {
    spread = some;
    return this;
  }

  /** Requests without an end. */
  public int open() {
    return open.get();
  }

  /** Final answers with this status so far; 0 counts those that had none. */
  public long ended(int status) {
    return statuses.get(status);
  }

  /** The same of one customer. */
  public long ended(String customer, int status) {
    AtomicLongArray all = byCustomer.get(customer);
    return all == null ? 0 : all.get(status);
  }

  private void tick() {
    long now = System.nanoTime();
    double seconds = Math.min(0.5, (now - lastTick) / 1e9);
    lastTick = now;
    double rate = customers.stream().mapToDouble(this::rate).sum();
    debt += rate * factor * seconds;
    while (debt > 0) {
      debt +=
          Math.log(
              1 - random.nextDouble()); // Gaps between arrivals are exponential, of mean 1 here.
      ask(pick(rate), kind(), name + operations++, 0);
    }
  }

  private double rate(Customer customer) {
    double rate = customer.rate();
    for (Map.Entry<String, Double> each : factors.entrySet()) {
      rate *= customer.name().startsWith(each.getKey()) ? each.getValue() : 1;
    }
    return rate;
  }

  private int gatekeeper(Customer customer) {
    if (spread == 0) {
      return random.nextInt(gatekeepers);
    }
    double u = random.nextDouble();
    int place = random.nextDouble() < hot ? 0 : (int) (spread * u * u);
    return (Math.floorMod(customer.name().hashCode(), gatekeepers) + (place + shifts) % spread)
        % gatekeepers;
  }

  private Customer pick(double rate) {
    double at = random.nextDouble() * rate;
    for (Customer each : customers) {
      at -= rate(each);
      if (at < 0) {
        return each;
      }
    }
    return customers.get(customers.size() - 1);
  }

  private Kind kind() {
    double at = random.nextDouble();
    for (Kind each : kinds) {
      at -= each.share();
      if (at < 0) {
        return each;
      }
    }
    return kinds.get(kinds.size() - 1);
  }

  private void ask(Customer customer, Kind kind, String operation, int attempt) {
    if (stopped || open.get() >= MOST_AT_ONCE) {
      return; // Over, or not offered: the machine is behind.
    }
    open.incrementAndGet();
    int gatekeeper = gatekeeper(customer);
    boolean leaves = kind.repeat() != Idempotency.AT_MOST_ONCE && random.nextDouble() < leaving;
    String key = kind.repeat() == Idempotency.DEDUPLICATED ? operation : null;
    client.send(
        new RawHttpClient.Call(
            operation + "." + attempt,
            gatekeeper,
            port.applyAsInt(gatekeeper),
            kind.method(),
            kind.path(),
            kind.type(),
            customer.key(),
            customer.name(),
            1,
            kind.remainingMicros(),
            key,
            leaves ? 5_000 + random.nextInt(60_000) : 0),
        end -> {
          open.decrementAndGet();
          statuses.incrementAndGet(end.status());
          byCustomer
              .computeIfAbsent(customer.name(), name -> new AtomicLongArray(600))
              .incrementAndGet(end.status());
          again(customer, kind, operation, attempt, end);
        });
  }

  private void again(
      Customer customer, Kind kind, String operation, int attempt, RawHttpClient.End end) {
    // A request that may have run is the client's to repeat only when its class allows that.
    boolean harmless =
        end.status() == 429
            || end.status() == 503
            || kind.repeat() == Idempotency.IDEMPOTENT && end.status() != 200;
    if (attempt + 1 >= (abuse ? 2 * tries : tries)
        || end.status() == 200
        || !harmless && !end.left()) {
      return;
    }
    long wait =
        end.left() || abuse
            ? 1
            : end.status() == 429 && random.nextBoolean()
                ? 1_000L * Math.max(1, end.retryAfter())
                : 50 + random.nextInt(200);
    vertx.setTimer(wait, id -> ask(customer, kind, operation, attempt + 1));
  }
}
