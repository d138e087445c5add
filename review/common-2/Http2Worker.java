import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Collections;
import java.util.HashMap;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * A back end that speaks HTTP/2 without TLS: answers each request with status 200, its length and a
 * body. While it hangs, it stops in the middle of each body and keeps the stream open.
 */
final class Http2Worker implements AutoCloseable {
  private static final int DATA = 0;
  private static final int HEADERS = 1;
  private static final int RST_STREAM = 3;
  private static final int SETTINGS = 4;
  private static final int PING = 6;
  private static final int ACK = 1;
  private static final int END_STREAM = 1;
  private static final int END_HEADERS = 4;
  private static final int PREFACE_BYTES = 24;
  private static final int FRAME_BYTES = 10_000;

  private final ServerSocket server = new ServerSocket(0, 64, InetAddress.getByName("127.0.0.1"));
  private final Record record;
  private final int bodyBytes;
  private final int hangAfterBytes;
  private volatile boolean isHanging;

  /** The body of each request that has come whole, in order. */
  final List<String> bodies = Collections.synchronizedList(new ArrayList<>());

  Http2Worker(Record record, int bodyBytes, int hangAfterBytes) throws IOException {
    this.record = record;
    this.bodyBytes = bodyBytes;
    this.hangAfterBytes = hangAfterBytes;
    Threads.start("worker", this::accept);
  }

  int port() {
    return server.getLocalPort();
  }

  void hang() {
    isHanging = true;
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
      DataInputStream in = new DataInputStream(socket.getInputStream());
      OutputStream out = socket.getOutputStream();
      in.readNBytes(PREFACE_BYTES);
      out.write(frame(SETTINGS, 0, 0, new byte[0]));
      Map<Integer, String> openBodies = new HashMap<>();
      while (true) {
        int length = in.readUnsignedByte() << 16 | in.readUnsignedShort();
        int type = in.readUnsignedByte();
        int flags = in.readUnsignedByte();
        int stream = in.readInt() & 0x7FFFFFFF;
        byte[] payload = new byte[length];
        in.readFully(payload);
        if (type == DATA) {
          String part = new String(payload, StandardCharsets.ISO_8859_1);
          openBodies.merge(stream, part, String::concat);
        }
        if (type == SETTINGS && (flags & ACK) == 0) {
          out.write(frame(SETTINGS, ACK, 0, new byte[0]));
        } else if (type == PING && (flags & ACK) == 0) {
          out.write(frame(PING, ACK, 0, payload));
        } else if (type == RST_STREAM) {
          record.line("worker: stream %d is reset", stream);
        } else if ((type == HEADERS || type == DATA) && (flags & END_STREAM) != 0) {
          String body = openBodies.getOrDefault(stream, "");
          bodies.add(body);
          record.line("run stream %d, body '%s'", stream, body.replace("\r\n", " | "));
          answer(out, stream);
        }
      }
    } catch (IOException e) {
      // The gatekeeper has closed the connection.
    }
  }

  /** Windows are not looked at: a connection carries less than their first 65,535 bytes. */
  private void answer(OutputStream out, int stream) throws IOException {
    int end = isHanging ? hangAfterBytes : bodyBytes;
    out.write(frame(HEADERS, END_HEADERS, stream, head()));
    for (int sent = 0; sent < end; ) {
      int bytes = Math.min(FRAME_BYTES, end - sent);
      sent += bytes;
      out.write(frame(DATA, sent == bodyBytes ? END_STREAM : 0, stream, new byte[bytes]));
    }
    record.line(
        "worker: stream %d, %d of %d bytes of the body are written", stream, end, bodyBytes);
  }

  /** Returns the fields ":status: 200" and "content-length" by the static table of HPACK. */
  private byte[] head() {
    byte[] length = Integer.toString(bodyBytes).getBytes(StandardCharsets.US_ASCII);
    ByteArrayOutputStream head = new ByteArrayOutputStream();
    head.write(0x88);
    head.write(0x0F);
    head.write(0x0D);
    head.write(length.length);
    head.writeBytes(length);
    return head.toByteArray();
  }

  private static byte[] frame(int type, int flags, int stream, byte[] payload) {
    ByteArrayOutputStream frame = new ByteArrayOutputStream();
    frame.write(payload.length >> 16);
    frame.write(payload.length >> 8);
    frame.write(payload.length);
    frame.write(type);
    frame.write(flags);
    for (int shift = 24; shift >= 0; shift -= 8) {
      frame.write(stream >> shift);
    }
    frame.writeBytes(payload);
    return frame.toByteArray();
  }

  @Override
  public void close() throws IOException {
    server.close();
  }
}
