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
 * A blocking client of a counter, for drills; calls and answers may be taken apart for pipelining.
 */
public final class CounterClient implements Closeable {
  /** An error that the counter answered. */
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

  /** Calls and waits for the answer, as {@link #readReply} tells it. */
  public Object call(String... words) throws IOException {
    send(words);
    out.flush();
    return readReply();
  }

  /** Sends without waiting; must be flushed. */
  void send(String... words) throws IOException {
    StringBuilder text = new StringBuilder("*").append(words.length).append("\r\n");
    for (String word : words) {
      text.append('$')
          .append(word.getBytes(StandardCharsets.UTF_8).length)
          .append("\r\n")
          .append(word)
          .append("\r\n");
    }
    out.write(text.toString().getBytes(StandardCharsets.UTF_8));
  }

  void flush() throws IOException {
    out.flush();
  }

  /** The next answer: a string, a long, a list, null or {@link ErrorReply}. */
  Object readReply() throws IOException {
    String line = readLine();
    String rest = line.substring(1);
    return switch (line.charAt(0)) {
      case '+' -> rest;
      case '-' -> new ErrorReply(rest);
      case ':' -> Long.parseLong(rest);
      case '$' -> readBulk(Integer.parseInt(rest));
      case '*' -> {
        List<Object> all = new ArrayList<>();
        for (int i = 0; i < Integer.parseInt(rest); i++) {
          all.add(readReply());
        }
        yield all;
      }
      default -> throw new IOException("an answer that begins with '" + line.charAt(0) + "'");
    };
  }

  private String readBulk(int length) throws IOException {
    if (length < 0) {
      return null;
    }
    byte[] bytes = in.readNBytes(length + 2);
    if (bytes.length < length + 2) {
      throw new EOFException("an answer was cut short");
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
