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
 * Base class of servers that listen on a free loopback port and serve each connection on its own
 * thread, up to a maximum number of connections. {@link #close} closes all connections and may be
 * called more than once; after it returns, new connections are refused.
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

  /** Starts accepting connections; a subclass calls this once it is ready to serve. */
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
                // The connection is closed.
              } finally {
                openSockets.remove(socket);
              }
            });
      } catch (IOException e) {
        return; // The listener is closed.
      }
    }
  }

  /** Serves one connection, which is closed when this method returns. */
  abstract void serve(Socket socket) throws IOException;

  public final int port() {
    return listener.getLocalPort();
  }

  /** Returns the number of connections accepted so far. */
  public final int acceptedConnectionCount() {
    return acceptedConnectionCount.get();
  }

  /** Returns the number of open connections. */
  public final int openConnectionCount() {
    return openSockets.size();
  }

  /** Closes all open connections but continues to listen. */
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
   * Waits until the accept thread has terminated. The operating system accepts connections until
   * the pending accept call returns, which may be after the listener is closed.
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
