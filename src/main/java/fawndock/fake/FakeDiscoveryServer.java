package fawndock.fake;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The platform's catalog on a free loopback port: the whole list, and a watch that goes on with
 * lines told to it.
 */
public final class FakeDiscoveryServer extends LoopbackServer {
  private final Set<OutputStream> watches = ConcurrentHashMap.newKeySet();
  private final AtomicInteger watchCount = new AtomicInteger();
  private final Object responseLock = new Object();
  private boolean isUnresponsive;
  private volatile String snapshotJson;

  /** Serves this whole list, a JSON object. */
  public FakeDiscoveryServer(String whole) throws IOException {
    this.snapshotJson = whole;
    startAccepting();
  }

  /** A list as the catalog writes it: an id, an address and a status for each worker. */
  public static String endpointListJson(long index, boolean whole, String... workers) {
    StringBuilder text =
        new StringBuilder("{\"index\":" + index + ",\"snapshot\":" + whole + ",\"endpoints\":[");
    for (int i = 0; i + 2 < workers.length; i += 3) {
      text.append(i == 0 ? "" : ",")
          .append("{\"name\":\"")
          .append(workers[i])
          .append("\",\"address\":\"")
          .append(workers[i + 1])
          .append("\",\"zone\":\"a\",\"type\":\"m\",\"group\":1,\"status\":\"")
          .append(workers[i + 2])
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
    String asked = in.readLine();
    for (String line = in.readLine(); line != null && !line.isEmpty(); line = in.readLine()) {
      // The header fields say nothing of use.
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
    if (asked != null && asked.contains("stream=1")) {
      send(out, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
      watches.add(out);
      watchCount.incrementAndGet();
      in.readLine(); // Until the other side has left.
    } else if (asked != null) {
      String body = snapshotJson;
      send(out, "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
    }
  }

  private static void send(OutputStream out, String text) throws IOException {
    out.write(text.getBytes(StandardCharsets.ISO_8859_1));
    out.flush();
  }

  /** Tells all watches a line, whatever it is. */
  public void sendEvent(String line) {
    sendChunk(line + "\n");
  }

  /** The whole list from now on. */
  public void setSnapshot(String list) {
    snapshotJson = list;
  }

  /**
   * Calls are accepted and get no answer, as while the catalog is down; told false, all that wait
   * get theirs.
   */
  public void setUnresponsive(boolean on) {
    synchronized (responseLock) {
      isUnresponsive = on;
      responseLock.notifyAll();
    }
  }

  /** Tells all watches these bytes of a chunked answer, as they are. */
  public void sendChunk(String bytes) {
    for (OutputStream out : watches) {
      try {
        send(out, Integer.toHexString(bytes.length()) + "\r\n" + bytes + "\r\n");
      } catch (IOException e) {
        watches.remove(out); // It has left.
      }
    }
  }

  /** Watches begun so far. */
  public int watchCount() {
    return watchCount.get();
  }

  /** Ends the watches that are open. */
  public void endWatches() throws IOException {
    watches.clear();
    closeConnections();
  }
}
