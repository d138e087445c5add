package fawndock.fake;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/**
 * A blocking RESP2 client on one loopback connection, which sends any bytes and reads one reply at
 * a time with a time limit. Not thread-safe; {@link #close} may be called more than once.
 */
public final class RespClient implements AutoCloseable {
  private static final int TIMEOUT_MILLIS = 10_000;
  private final Socket socket;
  private final InputStream in;

  /** Connects. */
  public RespClient(int port) throws IOException {
    socket = new Socket(InetAddress.getByName("127.0.0.1"), port);
    socket.setTcpNoDelay(true);
    socket.setSoTimeout(TIMEOUT_MILLIS);
    in = socket.getInputStream();
  }

  /** A command as an array of bulk strings. */
  public static String encodeCommand(String... words) {
    StringBuilder text = new StringBuilder("*" + words.length + "\r\n");
    for (String word : words) {
      text.append('$').append(word.length()).append("\r\n").append(word).append("\r\n");
    }
    return text.toString();
  }

  /** Sends these characters, a byte each. */
  public RespClient send(String bytes) throws IOException {
    socket.getOutputStream().write(bytes.getBytes(StandardCharsets.ISO_8859_1));
    socket.getOutputStream().flush();
    return this;
  }

  /** Sends characters as {@link #send} does; throws failures unchecked. */
  public void sendUnchecked(String bytes) {
    try {
      send(bytes);
    } catch (IOException e) {
      throw new java.io.UncheckedIOException(e);
    }
  }

  /**
   * The next reply: a line as it stands, the text of a bulk string, or null when the other side has
   * closed.
   */
  public String readReply() throws IOException {
    String line = readLine();
    if (line == null || !line.startsWith("$")) {
      return line;
    }
    int length = Integer.parseInt(line.substring(1));
    byte[] bytes = in.readNBytes(length + 2);
    return new String(bytes, 0, length, StandardCharsets.ISO_8859_1);
  }

  /** Sends a command and reads its reply. */
  public String call(String... words) throws IOException {
    return send(encodeCommand(words)).readReply();
  }

  private String readLine() throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    try {
      for (int b = in.read(); b != '\n'; b = in.read()) {
        if (b < 0) {
          return null;
        }
        line.write(b);
      }
    } catch (java.net.SocketException e) {
      return null; // Reset: closed as well.
    }
    return line.toString(StandardCharsets.ISO_8859_1).stripTrailing();
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
