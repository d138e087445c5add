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
 * A RESP2 server on a free loopback port, with a thread for each connection. Replies are given as
 * bytes, so that it can also send what no server should. Plays the platform's backends and counter.
 */
public final class FakeRespServer extends LoopbackServer {
  /** Replies to commands, each on its connection's own thread. */
  public interface CommandHandler {
    void onCommand(List<String> words, Connection connection)
        throws IOException, InterruptedException;
  }

  /** One connection. */
  public static final class Connection {
    private final Socket socket;
    private final OutputStream out;

    private Connection(Socket socket) throws IOException {
      this.socket = socket;
      this.out = socket.getOutputStream();
    }

    /** Sends these characters, a byte each, at once. */
    public void send(String bytes) throws IOException {
      out.write(bytes.getBytes(StandardCharsets.ISO_8859_1));
      out.flush();
    }

    /** Ends the connection: in order, or by a reset. */
    public void close(boolean reset) throws IOException {
      if (reset) {
        socket.setSoLinger(true, 0);
      }
      socket.close();
    }
  }

  private final CommandHandler handler;
  private final AtomicInteger commandCount = new AtomicInteger();

  /** Listens from now on. */
  public FakeRespServer(CommandHandler behaviour) throws IOException {
    this.handler = behaviour;
    startAccepting();
  }

  @Override
  void serve(Socket socket) throws IOException {
    CommandReader reader = new CommandReader(CommandReader.Limits.SERVER);
    ByteBuf in = Unpooled.buffer();
    byte[] part = new byte[8_192];
    try {
      Connection connection = new Connection(socket);
      for (int n = socket.getInputStream().read(part);
          n >= 0;
          n = socket.getInputStream().read(part)) {
        in.discardReadBytes().writeBytes(part, 0, n);
        for (byte[][] words = reader.next(in); words != null; words = reader.next(in)) {
          commandCount.incrementAndGet();
          handler.onCommand(
              Arrays.stream(words).map(w -> new String(w, StandardCharsets.ISO_8859_1)).toList(),
              connection);
        }
      }
    } catch (ProtocolException e) {
      // The connection is over.
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Commands read so far. */
  public int commandCount() {
    return commandCount.get();
  }

  /** Replies as a healthy backend of the platform does: the value names the request's id. */
  public static CommandHandler backendHandler() {
    return (words, connection) ->
        connection.send(
            backendResponse("value of " + words.get(2), "recent_ms=7,throughput=2.5,backlog=0"));
  }

  /** A whole reply of a backend with a load report. */
  public static String backendResponse(String value, String load) {
    return "*3\r\n$"
        + value.length()
        + "\r\n"
        + value
        + "\r\n$-1\r\n$"
        + load.length()
        + "\r\n"
        + load
        + "\r\n";
  }

  /** Replies as the platform's counter does. */
  public static CommandHandler counterHandler() {
    ConcurrentHashMap<String, Double> totals = new ConcurrentHashMap<>();
    return (words, connection) -> {
      String total =
          String.valueOf(totals.merge(words.get(1), Double.parseDouble(words.get(2)), Double::sum));
      connection.send("$" + total.length() + "\r\n" + total + "\r\n");
    };
  }
}
