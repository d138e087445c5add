package fawndock.scenario;

import java.io.BufferedInputStream;
import java.io.BufferedOutputStream;
import java.io.Closeable;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * A blocking client of the counter's protocol (RESP). Sending and reading are separate methods, so
 * that commands can be pipelined. Not thread-safe.
 */
public final class CounterClient implements Closeable {
  /** An error reply of the counter, without the leading dash. */
  public record ErrorReply(String text) {}

  private static final int TIMEOUT_MILLIS = 20_000;
  private final Socket socket = new Socket();
  private final InputStream in;
  private final OutputStream out;

  public CounterClient(int port) throws IOException {
    this(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
  }

  /**
   * @param address as HOST:PORT
   */
  public CounterClient(String address) throws IOException {
    this(
        new InetSocketAddress(
            address.substring(0, Math.max(0, address.lastIndexOf(':'))),
            Integer.parseInt(address.substring(address.lastIndexOf(':') + 1))));
  }

  private CounterClient(InetSocketAddress address) throws IOException {
    socket.setTcpNoDelay(true);
    socket.setSoTimeout(TIMEOUT_MILLIS);
    socket.connect(address, TIMEOUT_MILLIS);
    in = new BufferedInputStream(socket.getInputStream(), 1 << 16);
    out = new BufferedOutputStream(socket.getOutputStream(), 1 << 16);
  }

  /** Sends a command and returns its reply in the form of {@link #readReply}. */
  public Object call(String... arguments) throws IOException {
    send(arguments);
    out.flush();
    return readReply();
  }

  /** Buffers a command without waiting for its reply; {@link #flush} sends it. */
  void send(String... arguments) throws IOException {
    StringBuilder request = new StringBuilder("*").append(arguments.length).append("\r\n");
    for (String argument : arguments) {
      request
          .append('$')
          .append(argument.getBytes(StandardCharsets.UTF_8).length)
          .append("\r\n")
          .append(argument)
          .append("\r\n");
    }
    out.write(request.toString().getBytes(StandardCharsets.UTF_8));
  }

  void flush() throws IOException {
    out.flush();
  }

  /** Reads the next reply: a string, a long, a list, null or an {@link ErrorReply}. */
  Object readReply() throws IOException {
    String line = readLine();
    String payload = line.substring(1);
    return switch (line.charAt(0)) {
      case '+' -> payload;
      case '-' -> new ErrorReply(payload);
      case ':' -> Long.parseLong(payload);
      case '$' -> readBulk(Integer.parseInt(payload));
      case '*' -> {
        List<Object> elements = new ArrayList<>();
        for (int i = 0; i < Integer.parseInt(payload); i++) {
          elements.add(readReply());
        }
        yield elements;
      }
      default ->
          throw new IOException(
              "an answer of unknown type, beginning with '" + line.charAt(0) + "'");
    };
  }

  private String readBulk(int length) throws IOException {
    if (length < 0) {
      return null;
    }
    byte[] bytes = in.readNBytes(length + 2);
    if (bytes.length < length + 2) {
      throw new EOFException("an answer ends before its announced length");
    }
    return new String(bytes, 0, length, StandardCharsets.UTF_8);
  }

  private String readLine() throws IOException {
    StringBuilder line = new StringBuilder();
    for (int c = in.read(); c != '\n'; c = in.read()) {
      if (c < 0) {
        throw new EOFException("the counter closed the connection");
      }
      if (c != '\r') {
        line.append((char) c);
      }
    }
    return line.toString();
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
