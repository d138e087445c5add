package fawndock.fake;

import java.io.IOException;
import java.io.InterruptedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Listens on a free loopback port and serves each connection on a thread of its own, up to a limit.
 * {@link #close} ends all connections and may be called more than once; once it has returned,
 * connections are refused.
 */
abstract class LoopbackServer implements AutoCloseable {
  private static final int MAX_CONNECTIONS = 512;
  private final ServerSocket listener;
  private final Set<Socket> openSockets = ConcurrentHashMap.newKeySet();
  private final AtomicInteger acceptedConnectionCount = new AtomicInteger();
  private Thread acceptThread;

  LoopbackServer() throws IOException {
    listener = new ServerSocket(0, 256, InetAddress.getByName("127.0.0.1"));
  }

  /** Accepts connections from now on; to be called when the subclass is ready to serve. */
  final void startAccepting() {
    acceptThread = startThread(this::accept);
  }

  private static Thread startThread(Runnable task) {
    Thread thread = new Thread(task, "fake server");
    thread.setDaemon(true);
    thread.start();
    return thread;
  }

  private void accept() {
    while (!listener.isClosed()) {
      try {
        Socket socket = listener.accept();
        acceptedConnectionCount.incrementAndGet();
        if (openSockets.size() >= MAX_CONNECTIONS) {
          socket.close();
          continue;
        }
        openSockets.add(socket);
        startThread(
            () -> {
              try (socket) {
                serve(socket);
              } catch (IOException e) {
                // The connection is over.
              } finally {
                openSockets.remove(socket);
              }
            });
      } catch (IOException e) {
        return; // Closed.
      }
    }
  }

  /** Serves one connection; it is closed after this. */
  abstract void serve(Socket socket) throws IOException;

  public final int port() {
    return listener.getLocalPort();
  }

  /** Connections accepted so far. */
  public final int acceptedConnectionCount() {
    return acceptedConnectionCount.get();
  }

  /** Connections open now. */
  public final int openConnectionCount() {
    return openSockets.size();
  }

  /** Closes the connections that are open, and goes on listening. */
  final void closeConnections() throws IOException {
    for (Socket socket : openSockets) {
      socket.close();
    }
  }

  @Override
  public void close() throws IOException {
    listener.close();
    awaitAcceptThread();
    closeConnections();
  }

  /**
   * The operating system accepts connections until the accept call that was under way has returned,
   * which may be after the close of its socket.
   */
  private void awaitAcceptThread() throws IOException {
    if (acceptThread == null) {
      return;
    }
    try {
      acceptThread.join();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new InterruptedIOException("interrupted while closing");
    }
  }
}
