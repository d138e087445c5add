package fawndock.fake;

import fawndock.resp.CommandReader;
import fawndock.resp.ProtocolException;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A fake RESP2 server on a free loopback port, used for the platform's backends and counter.
 * Replies are raw bytes, so that tests can also send invalid ones. Each connection has its own
 * thread.
 */
public final class FakeRespServer extends LoopbackServer {
  /** Handles commands, each on the thread of its connection. */
  public interface CommandHandler {
    void onCommand(List<String> words, Connection connection)
        throws IOException, InterruptedException;
  }

  /** A client's connection, used on its own thread. */
  public static final class Connection {
    private final Socket socket;
    private final OutputStream out;

    private Connection(Socket socket) throws IOException {
      this.socket = socket;
      this.out = socket.getOutputStream();
    }

    /** Sends a string immediately, encoded as one byte per character. */
    public void send(String bytes) throws IOException {
      out.write(bytes.getBytes(StandardCharsets.ISO_8859_1));
      out.flush();
    }

    /** Closes the connection, either normally or with a TCP reset. */
    public void close(boolean reset) throws IOException {
      if (reset) {
        socket.setSoLinger(true, 0);
      }
      socket.close();
    }
  }

  private final CommandHandler handler;
  private final AtomicInteger commandCount = new AtomicInteger();

  /** Starts listening. */
  public FakeRespServer(CommandHandler handler) throws IOException {
    this.handler = handler;
    startAccepting();
  }

  @Override
  void serve(Socket socket) throws IOException {
    CommandReader reader = new CommandReader(CommandReader.Limits.SERVER);
    ByteBuf received = Unpooled.buffer();
    byte[] buffer = new byte[8_192];
    try {
      Connection connection = new Connection(socket);
      for (int length = socket.getInputStream().read(buffer);
          length >= 0;
          length = socket.getInputStream().read(buffer)) {
        received.discardReadBytes().writeBytes(buffer, 0, length);
        for (byte[][] words = reader.next(received); words != null; words = reader.next(received)) {
          commandCount.incrementAndGet();
          handler.onCommand(
              Arrays.stream(words)
                  .map(word -> new String(word, StandardCharsets.ISO_8859_1))
                  .toList(),
              connection);
        }
      }
    } catch (ProtocolException e) {
      // The connection is closed.
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Returns the number of commands read so far. */
  public int commandCount() {
    return commandCount.get();
  }

  /** Returns a handler that replies like a healthy backend; the value contains the request id. */
  public static CommandHandler backendHandler() {
    return (words, connection) ->
        connection.send(
            backendResponse("value of " + words.get(2), "recent_ms=7,throughput=2.5,backlog=0"));
  }

  /** Returns a complete reply of a backend with a load report. */
  public static String backendResponse(String value, String loadReport) {
    return "*3\r\n$"
        + value.length()
        + "\r\n"
        + value
        + "\r\n$-1\r\n$"
        + loadReport.length()
        + "\r\n"
        + loadReport
        + "\r\n";
  }

  /** Returns a handler that replies like the platform's counter. */
  public static CommandHandler counterHandler() {
    ConcurrentHashMap<String, Double> totals = new ConcurrentHashMap<>();
    return (words, connection) -> {
      String total =
          String.valueOf(totals.merge(words.get(1), Double.parseDouble(words.get(2)), Double::sum));
      connection.send("$" + total.length() + "\r\n" + total + "\r\n");
    };
  }
}
