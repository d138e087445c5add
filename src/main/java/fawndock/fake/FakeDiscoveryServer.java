package fawndock.fake;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A fake of the platform's endpoint discovery on a free loopback port. It serves a snapshot and
 * watch streams of events over HTTP. The public methods may be called from any thread.
 */
public final class FakeDiscoveryServer extends LoopbackServer {
  private final Set<OutputStream> watches = ConcurrentHashMap.newKeySet();
  private final AtomicInteger watchCount = new AtomicInteger();
  private final Object responseLock = new Object();
  private boolean isUnresponsive;
  private volatile String snapshotJson;

  /** Starts serving a snapshot, which is a JSON object. */
  public FakeDiscoveryServer(String snapshotJson) throws IOException {
    this.snapshotJson = snapshotJson;
    startAccepting();
  }

  /**
   * Returns an endpoint list in the format of the discovery service.
   *
   * @param endpoints id, address and status of each endpoint
   */
  public static String endpointListJson(long index, boolean isSnapshot, String... endpoints) {
    StringBuilder text =
        new StringBuilder(
            "{\"index\":" + index + ",\"snapshot\":" + isSnapshot + ",\"endpoints\":[");
    for (int i = 0; i + 2 < endpoints.length; i += 3) {
      text.append(i == 0 ? "" : ",")
          .append("{\"name\":\"")
          .append(endpoints[i])
          .append("\",\"address\":\"")
          .append(endpoints[i + 1])
          .append("\",\"zone\":\"a\",\"type\":\"m\",\"group\":1,\"status\":\"")
          .append(endpoints[i + 2])
          .append("\",\"weight\":1.0,\"since_ms\":0}");
    }
    return text.append("]}").toString();
  }

  @Override
  void serve(Socket socket) throws IOException {
    BufferedReader in =
        new BufferedReader(
            new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
    OutputStream out = socket.getOutputStream();
    String requestLine = in.readLine();
    for (String line = in.readLine(); line != null && !line.isEmpty(); line = in.readLine()) {
      // Skips the header fields.
    }
    synchronized (responseLock) {
      while (isUnresponsive) {
        try {
          responseLock.wait();
        } catch (InterruptedException e) {
          return;
        }
      }
    }
    if (requestLine != null && requestLine.contains("stream=1")) {
      send(out, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
      watches.add(out);
      watchCount.incrementAndGet();
      in.readLine(); // Blocks until the client disconnects.
    } else if (requestLine != null) {
      String body = snapshotJson;
      send(out, "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
    }
  }

  private static void send(OutputStream out, String text) throws IOException {
    out.write(text.getBytes(StandardCharsets.ISO_8859_1));
    out.flush();
  }

  /** Sends a line unchanged to all watches; it need not be a valid event. */
  public void sendEvent(String line) {
    sendChunk(line + "\n");
  }

  /** Replaces the snapshot for all further requests. */
  public void setSnapshot(String json) {
    snapshotJson = json;
  }

  /** While enabled, withholds the responses to new requests, as in an outage; sends them later. */
  public void setUnresponsive(boolean enabled) {
    synchronized (responseLock) {
      isUnresponsive = enabled;
      responseLock.notifyAll();
    }
  }

  /** Sends bytes as one HTTP chunk to all watches. */
  public void sendChunk(String bytes) {
    for (OutputStream out : List.copyOf(watches)) {
      try {
        send(out, Integer.toHexString(bytes.length()) + "\r\n" + bytes + "\r\n");
      } catch (IOException e) {
        watches.remove(out); // The client disconnected.
      }
    }
  }

  /** Returns the number of watches started so far. */
  public int watchCount() {
    return watchCount.get();
  }

  /** Closes all open connections, including those of the watches. */
  public void endWatches() throws IOException {
    watches.clear();
    closeConnections();
  }
}
