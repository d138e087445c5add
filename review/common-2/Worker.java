import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** A sound worker by PROTOCOL.md: runs each request and answers it with a value made from its id. */
final class Worker implements AutoCloseable {
  final ServerSocket server = new ServerSocket(0, 512, InetAddress.getByName("127.0.0.1"));
  private final Record record;
  private final AtomicInteger commands = new AtomicInteger();
  private volatile long workMillis;
  private volatile int spoiltOneIn;
  private volatile byte[] spoiltAnswer;

  /** How often each request id has run. */
  final Map<String, Integer> runs = new ConcurrentHashMap<>();

  Worker(Record record, long workMillis) throws IOException {
    this.record = record;
    this.workMillis = workMillis;
    Threads.start("worker", this::accept);
  }

  void setWorkMillis(long millis) {
    workMillis = millis;
  }

  /** Gives one of so many answers as these bytes, after which nothing more comes. */
  void spoil(int oneIn, byte[] answer) {
    spoiltAnswer = answer;
    spoiltOneIn = oneIn;
  }

  int port() {
    return server.getLocalPort();
  }

  private void accept() {
    while (!server.isClosed()) {
      try {
        Socket socket = server.accept();
        socket.setTcpNoDelay(true);
        Threads.start("worker-connection", () -> serve(socket));
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
          case "Q.ASK", "Q.DO" -> {
            String id = words.get(2);
            runs.merge(id, 1, Integer::sum);
            record.line("run %s %s", id, words.get(3));
            Threads.sleep(workMillis);
            if (spoiltOneIn > 0 && commands.incrementAndGet() % spoiltOneIn == 0) {
              record.line("spoilt answer %s", id);
              out.write(spoiltAnswer);
              socket.getInputStream().read(); // Until the gatekeeper closes the connection.
              return;
            }
            out.write(Resp.served(value(id)));
          }
          default -> out.write("-ERR unknown command\r\n".getBytes());
        }
      }
    } catch (IOException e) {
      // The gatekeeper has closed the connection.
    }
  }

  /** Returns the value that the worker makes for a request. */
  static String value(String id) {
    return "value-of-" + id;
  }

  @Override
  public void close() throws IOException {
    server.close();
  }
}
