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
 * A TCP proxy between clients and a service that can block requests, block or delay responses, and
 * be stopped. Its buffers are bounded: when one is full, the proxy stops reading from the service.
 * The public methods may be called from any thread.
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

  /** Starts listening; the port stays the same after each restart. */
  public Future<Void> start() {
    server =
        vertx
            .createNetServer(new NetServerOptions().setTcpNoDelay(true).setReuseAddress(true))
            .connectHandler(this::onClientConnected);
    return server
        .listen(port, "127.0.0.1")
        .map(
            listening -> {
              port = listening.actualPort();
              return null;
            });
  }

  public int port() {
    return port;
  }

  /** While blocked, forwards requests but holds back responses. */
  public void setResponsesBlocked(boolean blocked) {
    areResponsesBlocked = blocked;
    if (!blocked) {
      context.runOnContext(v -> Set.copyOf(connections).forEach(ProxiedConnection::flushDue));
    }
  }

  /** While blocked, holds back requests. */
  public void setRequestsBlocked(boolean blocked) {
    areRequestsBlocked = blocked;
    context.runOnContext(
        v ->
            Set.copyOf(connections)
                .forEach(
                    connection -> {
                      if (blocked) {
                        connection.clientSocket.pause();
                      } else {
                        connection.clientSocket.resume();
                      }
                    }));
  }

  /**
   * Starts counting the occurrences of a word in the bytes sent to the service, including those
   * that are split across packets. The first letter of the word must occur in it only once.
   */
  public void countOccurrences(String word) {
    countedWord = word.getBytes(StandardCharsets.US_ASCII);
  }

  /** Returns the number of occurrences counted so far. */
  public long occurrenceCount() {
    return occurrences.get();
  }

  /** Sets the delay of responses. */
  public void setResponseDelayMillis(long millis) {
    responseDelayMillis = millis;
  }

  /** Closes every connection and stops listening until the next start. */
  public void stop() {
    if (server != null) {
      server.close();
    }
    context.runOnContext(v -> Set.copyOf(connections).forEach(ProxiedConnection::close));
  }

  private void onClientConnected(NetSocket clientSocket) {
    clientSocket.pause();
    client
        .connect(servicePort, "127.0.0.1")
        .onComplete(
            connectResult -> {
              if (connectResult.failed()) {
                clientSocket.close();
              } else {
                NetSocket serviceSocket = connectResult.result();
                serviceSocket.pause();
                context.runOnContext(
                    v -> {
                      ProxiedConnection connection =
                          new ProxiedConnection(clientSocket, serviceSocket);
                      connections.add(connection);
                      connection.start();
                    });
              }
            });
  }

  /** A pair of connections to a client and to the service, used only on the proxy's context. */
  private final class ProxiedConnection {
    private final NetSocket clientSocket;
    private final NetSocket serviceSocket;
    private final ArrayDeque<Chunk> pendingChunks = new ArrayDeque<>();
    private int matchedLength;

    ProxiedConnection(NetSocket clientSocket, NetSocket serviceSocket) {
      this.clientSocket = clientSocket;
      this.serviceSocket = serviceSocket;
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
     * Counts occurrences of the word. The word's first letter occurs in it only once, so a mismatch
     * needs no backtracking.
     */
    private void countMatches(Buffer bytes) {
      byte[] word = countedWord;
      for (int i = 0; i < bytes.length() && word.length > 0; i++) {
        byte next = bytes.getByte(i);
        matchedLength =
            matchedLength < word.length && next == word[matchedLength]
                ? matchedLength + 1
                : next == word[0] ? 1 : 0;
        if (matchedLength == word.length) {
          occurrences.incrementAndGet();
          matchedLength = 0;
        }
      }
    }

    private void onResponseBytes(Buffer bytes) {
      long dueAtNanos = System.nanoTime() + responseDelayMillis * 1_000_000;
      pendingChunks.add(
          new Chunk(
              bytes,
              pendingChunks.isEmpty()
                  ? dueAtNanos
                  : Math.max(dueAtNanos, pendingChunks.peekLast().dueAtNanos)));
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
        long remainingNanos = pendingChunks.peek().dueAtNanos - System.nanoTime();
        vertx.setTimer(
            Math.max(1, TimeUnit.NANOSECONDS.toMillis(remainingNanos)),
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
