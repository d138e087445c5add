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
 * A TCP proxy between clients and a service that can block or delay responses and be stopped. What
 * it buffers is bounded: beyond that it stops reading from the service. The public methods may be
 * called from any thread.
 */
public final class FaultInjectingProxy {
  private static final int MAX_PENDING_CHUNKS = 4_096;

  private record Chunk(Buffer bytes, long dueAtNanos) {}

  private final Vertx vertx;
  private final int servicePort;
  private final NetClient client;
  private final Set<ProxiedConnection> connections = new HashSet<>();
  private final io.vertx.core.Context context;
  private NetServer server;
  private int port;
  private volatile boolean areResponsesBlocked;
  private volatile boolean areRequestsBlocked;
  private volatile long responseDelayMillis;
  private volatile byte[] countedWord = {};
  private final AtomicLong occurrences = new AtomicLong();

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

  /** Forwards requests but keeps the responses back while set. */
  public void setResponsesBlocked(boolean on) {
    areResponsesBlocked = on;
    if (!on) {
      context.runOnContext(v -> Set.copyOf(connections).forEach(ProxiedConnection::flushDue));
    }
  }

  /** Keeps the requests back while set. */
  public void setRequestsBlocked(boolean on) {
    areRequestsBlocked = on;
    context.runOnContext(
        v ->
            Set.copyOf(connections)
                .forEach(
                    line -> {
                      if (on) {
                        line.clientSocket.pause();
                      } else {
                        line.clientSocket.resume();
                      }
                    }));
  }

  /**
   * Counts from now on how often a word crosses towards the service, also where it is cut by the
   * packets.
   */
  public void countOccurrences(String word) {
    countedWord = word.getBytes(StandardCharsets.US_ASCII);
  }

  /** How often it did. */
  public long occurrenceCount() {
    return occurrences.get();
  }

  /** Delays responses. */
  public void setResponseDelayMillis(long millis) {
    responseDelayMillis = millis;
  }

  /** Breaks every connection and stops listening until started again. */
  public void stop() {
    if (server != null) {
      server.close();
    }
    context.runOnContext(v -> Set.copyOf(connections).forEach(ProxiedConnection::close));
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
                      ProxiedConnection line = new ProxiedConnection(caller, service);
                      connections.add(line);
                      line.start();
                    });
              }
            });
  }

  /** One connection; its state is used on the relay's context alone. */
  private final class ProxiedConnection {
    private final NetSocket clientSocket;
    private final NetSocket serviceSocket;
    private final ArrayDeque<Chunk> pendingChunks = new ArrayDeque<>();
    private int matched;

    ProxiedConnection(NetSocket caller, NetSocket service) {
      this.clientSocket = caller;
      this.serviceSocket = service;
    }

    void start() {
      clientSocket
          .handler(
              bytes -> {
                countMatches(bytes);
                serviceSocket.write(bytes);
              })
          .closeHandler(v -> context.runOnContext(w -> close()))
          .exceptionHandler(e -> {});
      serviceSocket
          .handler(bytes -> context.runOnContext(v -> onResponseBytes(bytes)))
          .closeHandler(v -> context.runOnContext(w -> close()))
          .exceptionHandler(e -> {});
      if (!areRequestsBlocked) {
        clientSocket.resume();
      }
      serviceSocket.resume();
    }

    /**
     * The word's first letter stands in it once, so a mismatch needs no second look further back.
     */
    private void countMatches(Buffer bytes) {
      byte[] word = countedWord;
      for (int i = 0; i < bytes.length() && word.length > 0; i++) {
        byte each = bytes.getByte(i);
        matched =
            matched < word.length && each == word[matched] ? matched + 1 : each == word[0] ? 1 : 0;
        if (matched == word.length) {
          occurrences.incrementAndGet();
          matched = 0;
        }
      }
    }

    private void onResponseBytes(Buffer bytes) {
      long due = System.nanoTime() + responseDelayMillis * 1_000_000;
      pendingChunks.add(
          new Chunk(
              bytes,
              pendingChunks.isEmpty() ? due : Math.max(due, pendingChunks.peekLast().dueAtNanos)));
      if (pendingChunks.size() > MAX_PENDING_CHUNKS) {
        serviceSocket.pause();
      }
      flushDue();
    }

    void flushDue() {
      while (!areResponsesBlocked
          && !pendingChunks.isEmpty()
          && pendingChunks.peek().dueAtNanos <= System.nanoTime()) {
        clientSocket.write(pendingChunks.poll().bytes);
      }
      if (pendingChunks.size() <= MAX_PENDING_CHUNKS) {
        serviceSocket.resume();
      }
      if (!areResponsesBlocked && !pendingChunks.isEmpty()) {
        long nanos = pendingChunks.peek().dueAtNanos - System.nanoTime();
        vertx.setTimer(
            Math.max(1, TimeUnit.NANOSECONDS.toMillis(nanos)),
            t -> context.runOnContext(v -> flushDue()));
      }
    }

    void close() {
      connections.remove(this);
      pendingChunks.clear();
      clientSocket.close();
      serviceSocket.close();
    }
  }
}
