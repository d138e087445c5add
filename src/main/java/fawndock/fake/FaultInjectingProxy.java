package fawndock.fake;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetClientOptions;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetServerOptions;
import io.vertx.core.net.NetSocket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A network between clients and a service that can hold answers back, slow them down and be cut.
 * What it holds is bounded: it stops reading from the service.
 */
public final class FaultInjectingProxy {
  private static final int MOST_HELD = 4_096;

  private record Chunk(Buffer bytes, long dueAt) {}

  private final Vertx vertx;
  private final int servicePort;
  private final NetClient client;
  private final Set<Line> lines = new HashSet<>();
  private final io.vertx.core.Context context;
  private NetServer server;
  private int port;
  private volatile boolean silent;
  private volatile boolean deaf;
  private volatile long slowMillis;
  private volatile byte[] counted = {};
  private final AtomicLong seen = new AtomicLong();

  public FaultInjectingProxy(Vertx vertx, int servicePort) {
    this.vertx = vertx;
    this.servicePort = servicePort;
    context = vertx.getOrCreateContext();
    client =
        vertx.createNetClient(new NetClientOptions().setTcpNoDelay(true).setConnectTimeout(1_000));
  }

  /** Listens; the port is the same after each call. */
  public Future<Void> start() {
    server =
        vertx
            .createNetServer(new NetServerOptions().setTcpNoDelay(true).setReuseAddress(true))
            .connectHandler(this::connected);
    return server
        .listen(port, "127.0.0.1")
        .map(
            s -> {
              port = s.actualPort();
              return null;
            });
  }

  public int port() {
    return port;
  }

  /** Passes calls on but holds the answers until told otherwise. */
  public void silent(boolean on) {
    silent = on;
    if (!on) {
      context.runOnContext(v -> Set.copyOf(lines).forEach(Line::send));
    }
  }

  /** Holds the calls until told otherwise. */
  public void deaf(boolean on) {
    deaf = on;
    context.runOnContext(
        v ->
            Set.copyOf(lines)
                .forEach(
                    line -> {
                      if (on) {
                        line.caller.pause();
                      } else {
                        line.caller.resume();
                      }
                    }));
  }

  /**
   * Counts from now on how often a word crosses towards the service, also where it is cut by the
   * packets.
   */
  public void count(String word) {
    counted = word.getBytes(StandardCharsets.US_ASCII);
  }

  /** How often it did. */
  public long counted() {
    return seen.get();
  }

  /** Passes answers on so much later. */
  public void slow(long millis) {
    slowMillis = millis;
  }

  /** Breaks every connection and stops listening until started again. */
  public void stop() {
    if (server != null) {
      server.close();
    }
    context.runOnContext(v -> Set.copyOf(lines).forEach(Line::close));
  }

  private void connected(NetSocket caller) {
    caller.pause();
    client
        .connect(servicePort, "127.0.0.1")
        .onComplete(
            made -> {
              if (made.failed()) {
                caller.close();
              } else {
                NetSocket service = made.result();
                service.pause();
                context.runOnContext(
                    v -> {
                      Line line = new Line(caller, service);
                      lines.add(line);
                      line.open();
                    });
              }
            });
  }

  /** One connection; its state is used on the relay's context alone. */
  private final class Line {
    private final NetSocket caller;
    private final NetSocket service;
    private final ArrayDeque<Chunk> held = new ArrayDeque<>();
    private int matched;

    Line(NetSocket caller, NetSocket service) {
      this.caller = caller;
      this.service = service;
    }

    void open() {
      caller
          .handler(
              bytes -> {
                look(bytes);
                service.write(bytes);
              })
          .closeHandler(v -> context.runOnContext(w -> close()))
          .exceptionHandler(e -> {});
      service
          .handler(bytes -> context.runOnContext(v -> answer(bytes)))
          .closeHandler(v -> context.runOnContext(w -> close()))
          .exceptionHandler(e -> {});
      if (!deaf) {
        caller.resume();
      }
      service.resume();
    }

    /**
     * The word's first letter stands in it once, so a mismatch needs no second look further back.
     */
    private void look(Buffer bytes) {
      byte[] word = counted;
      for (int i = 0; i < bytes.length() && word.length > 0; i++) {
        byte each = bytes.getByte(i);
        matched =
            matched < word.length && each == word[matched] ? matched + 1 : each == word[0] ? 1 : 0;
        if (matched == word.length) {
          seen.incrementAndGet();
          matched = 0;
        }
      }
    }

    private void answer(Buffer bytes) {
      long due = System.nanoTime() + slowMillis * 1_000_000;
      held.add(new Chunk(bytes, held.isEmpty() ? due : Math.max(due, held.peekLast().dueAt)));
      if (held.size() > MOST_HELD) {
        service.pause();
      }
      send();
    }

    void send() {
      while (!silent && !held.isEmpty() && held.peek().dueAt <= System.nanoTime()) {
        caller.write(held.poll().bytes);
      }
      if (held.size() <= MOST_HELD) {
        service.resume();
      }
      if (!silent && !held.isEmpty()) {
        long nanos = held.peek().dueAt - System.nanoTime();
        vertx.setTimer(
            Math.max(1, TimeUnit.NANOSECONDS.toMillis(nanos)),
            t -> context.runOnContext(v -> send()));
      }
    }

    void close() {
      lines.remove(this);
      held.clear();
      caller.close();
      service.close();
    }
  }
}
