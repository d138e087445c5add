package fawndock.fake;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/**
 * A blocking RESP2 client on one loopback connection that sends arbitrary bytes and reads one reply
 * at a time with a timeout. Not thread-safe; {@link #close} may be called more than once.
 */
public final class RespClient implements AutoCloseable {
  private static final int TIMEOUT_MILLIS = 10_000;
  private final Socket socket;
  private final InputStream in;

  /** Connects to a loopback port. */
  public RespClient(int port) throws IOException {
    socket = new Socket(InetAddress.getByName("127.0.0.1"), port);
    socket.setTcpNoDelay(true);
    socket.setSoTimeout(TIMEOUT_MILLIS);
    in = socket.getInputStream();
  }

  /** Encodes a command as an array of bulk strings. */
  public static String encodeCommand(String... words) {
    StringBuilder text = new StringBuilder("*" + words.length + "\r\n");
    for (String word : words) {
      text.append('$').append(word.length()).append("\r\n").append(word).append("\r\n");
    }
    return text.toString();
  }

  /** Sends a string, encoded as one byte per character. */
  public RespClient send(String bytes) throws IOException {
    socket.getOutputStream().write(bytes.getBytes(StandardCharsets.ISO_8859_1));
    socket.getOutputStream().flush();
    return this;
  }

  /** Sends a string as {@link #send} does, but throws unchecked exceptions. */
  public void sendUnchecked(String bytes) {
    try {
      send(bytes);
    } catch (IOException e) {
      throw new java.io.UncheckedIOException(e);
    }
  }

  /**
   * Reads the next reply; returns its line unchanged, the text of a bulk string, or null when the
   * server has closed the connection.
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
      return null; // A connection reset counts as closed.
    }
    return line.toString(StandardCharsets.ISO_8859_1).stripTrailing();
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
