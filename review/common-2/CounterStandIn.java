import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** A sound counter by PROTOCOL.md: answers each ADDGET at once. Names are kept until the end. */
final class CounterStandIn implements AutoCloseable {
  final ServerSocket server = new ServerSocket(0, 64, InetAddress.getByName("127.0.0.1"));
  private final Map<String, Double> totals = new ConcurrentHashMap<>();

  CounterStandIn() throws IOException {
    Threads.start("counter", this::accept);
  }

  int port() {
    return server.getLocalPort();
  }

  private void accept() {
    while (!server.isClosed()) {
      try {
        Socket socket = server.accept();
        socket.setTcpNoDelay(true);
        Threads.start("counter-connection", () -> serve(socket));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      Resp.Reader reader = new Resp.Reader(socket.getInputStream());
      OutputStream out = socket.getOutputStream();
      while (true) {
        List<String> words = reader.command();
        switch (words.get(0)) {
          case "PING" -> out.write("+PONG\r\n".getBytes());
          case "CLIENT", "SELECT" -> out.write("+OK\r\n".getBytes());
          case "ADDGET" -> {
            double amount = Double.parseDouble(words.get(2));
            out.write(
                Resp.bulk(
                    Double.toString(totals.merge(words.get(1), amount, Double::sum))));
          }
          default -> out.write("-ERR no such call\r\n".getBytes());
        }
      }
    } catch (IOException e) {
      // The gatekeeper has closed the connection.
    }
  }

  @Override
  public void close() throws IOException {
    server.close();
  }
}
