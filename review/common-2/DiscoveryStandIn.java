import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;

/** Discovery by PROTOCOL.md with a list that does not change: the whole list, and silent watches. */
final class DiscoveryStandIn implements AutoCloseable {
  final ServerSocket server = new ServerSocket(0, 64, InetAddress.getByName("127.0.0.1"));
  private final String list;

  DiscoveryStandIn(List<Integer> workerPorts) throws IOException {
    list = list(workerPorts);
    Threads.start("discovery", this::accept);
  }

  /** Returns the whole list in the form that discovery uses. */
  static String list(List<Integer> workerPorts) {
    StringBuilder text = new StringBuilder("{\"index\":41,\"snapshot\":true,\"endpoints\":[");
    for (int i = 0; i < workerPorts.size(); i++) {
      text.append(i == 0 ? "" : ",")
          .append("{\"name\":\"s-").append(i)
          .append("\",\"address\":\"127.0.0.1:").append(workerPorts.get(i))
          .append("\",\"zone\":\"a\",\"type\":\"m2\",\"group\":0,\"status\":\"ready\",")
          .append("\"weight\":1.0,\"since_ms\":0}");
    }
    return text.append("]}").toString();
  }

  int port() {
    return server.getLocalPort();
  }

  private void accept() {
    while (!server.isClosed()) {
      try {
        Socket socket = server.accept();
        Threads.start("discovery-connection", () -> serve(socket));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      StringBuilder head = new StringBuilder();
      while (head.indexOf("\r\n\r\n") < 0) {
        int b = socket.getInputStream().read();
        if (b < 0) {
          return;
        }
        head.append((char) b);
      }
      OutputStream out = socket.getOutputStream();
      if (head.indexOf("stream=1") < 0) {
        write(
            out,
            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: "
                + list.length() + "\r\n\r\n" + list);
        socket.getInputStream().read();
        return;
      }
      write(out, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
      while (true) {
        write(out, "1\r\n\n\r\n");
        Threads.sleep(2_000);
      }
    } catch (IOException e) {
      // The gatekeeper has closed the connection.
    }
  }

  private static void write(OutputStream out, String text) throws IOException {
    out.write(text.getBytes(StandardCharsets.ISO_8859_1));
    out.flush();
  }

  @Override
  public void close() throws IOException {
    server.close();
  }
}
