package fawndock.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Tests a process of the HTTP gateway and the gRPC service with little memory, whose clients stop
 * in the middle of a request.
 */
class PartialRequestsTest {
  private static final int HEAP_MEGABYTES = 64;
  private static final int HTTP_CLIENTS = 1_000;
  private static final int GRPC_CLIENTS = 40;
  private static final int GRPC_STREAMS = 60;
  private static final int FRAME_BYTES = 16_000;
  private static final int FRAME_TYPE_DATA = 0;
  private static final int FRAME_TYPE_HEADERS = 1;
  private static final int FRAME_TYPE_SETTINGS = 4;
  private static final int FRAME_TYPE_PING = 6;
  private static final int FLAG_END_HEADERS = 4;

  @TempDir Path directory;
  private final List<Socket> sockets = new ArrayList<>();
  private Process process;
  private int httpPort;
  private int grpcPort;

  @BeforeEach
  void start() throws Exception {
    httpPort = freePort();
    grpcPort = freePort();
    Path settings = directory.resolve("gateway.conf");
    Files.writeString(
        settings,
        """
        listen 127.0.0.1:%d
        class lookup aim 500ms deadline 20s repeat idempotent
        route POST /notes lookup
        plan basic rate 1000 store 1000
        key k1 customer one plan basic
        server w1 127.0.0.1:%d
        rate-limit 127.0.0.1:%d
        descriptor desks agency=* customer {agency} plan basic class lookup
        """
            .formatted(httpPort, freePort(), grpcPort));
    process =
        new ProcessBuilder(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-Xmx" + HEAP_MEGABYTES + "m",
                "-XX:+UseSerialGC",
                "-XX:+ExitOnOutOfMemoryError",
                "-cp",
                System.getProperty("java.class.path"),
                "fawndock.Main",
                "run",
                "-c",
                settings.toString())
            .redirectOutput(ProcessBuilder.Redirect.DISCARD)
            .redirectError(ProcessBuilder.Redirect.DISCARD)
            .start();
    GatewayHarness.awaitTrue(this::isServing);
  }

  @AfterEach
  void stop() throws IOException {
    process.destroyForcibly();
    for (Socket socket : sockets) {
      socket.close();
    }
  }

  private static int freePort() throws IOException {
    try (ServerSocket reservation = new ServerSocket(0)) {
      return reservation.getLocalPort();
    }
  }

  private boolean isServing() {
    try (Socket socket = new Socket("127.0.0.1", httpPort)) {
      return statusOf(socket, "GET /none HTTP/1.1\r\nHost: a\r\nx-api-key: k1\r\n\r\n") == 404;
    } catch (IOException e) {
      return false; // The gateway does not listen yet, or has ended.
    }
  }

  private static int statusOf(Socket socket, String request) throws IOException {
    socket.setSoTimeout(10_000);
    socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
    byte[] status = socket.getInputStream().readNBytes("HTTP/1.1 200".length());
    return status.length < 12
        ? 0
        : Integer.parseInt(new String(status, 9, 3, StandardCharsets.US_ASCII));
  }

  /** Guards against request bodies that are not whole, which filled the heap. */
  @Test
  void bodiesThatStopInTheMiddle_getA503AndOthersAreServed() throws Exception {
    byte[] partialRequest =
        ("POST /notes HTTP/1.1\r\nHost: a\r\nx-api-key: k1\r\ncontent-length: 65000\r\n\r\n"
                + "b".repeat(64_990))
            .getBytes(StandardCharsets.ISO_8859_1);
    for (int i = 0; i < HTTP_CLIENTS; i++) {
      sockets.add(new Socket("127.0.0.1", httpPort));
      sockets.get(i).getOutputStream().write(partialRequest);
    }
    assertTrue(isServing());
    assertEquals(503, statusOf(sockets.get(0), ""));
    assertTrue(process.isAlive());
  }

  /** Guards against messages of gRPC calls that are not whole, which filled the heap. */
  @Test
  void callsThatStopInTheMiddle_areResetAndOthersAreServed() throws Exception {
    byte[] partialCalls = partialCalls();
    for (int i = 0; i < GRPC_CLIENTS; i++) {
      Socket socket = new Socket("127.0.0.1", grpcPort);
      sockets.add(socket);
      Thread writer = new Thread(() -> writeQuietly(socket, partialCalls));
      writer.start();
      writer.join(2_000);
    }
    for (Socket socket : sockets) {
      assertTrue(hasPingReply(socket));
    }
    assertTrue(isServing());
    assertTrue(process.isAlive());
  }

  /** Reads frames up to the reply to the PING behind all calls; false if the connection ends. */
  private static boolean hasPingReply(Socket socket) throws IOException {
    socket.setSoTimeout(20_000);
    DataInputStream in = new DataInputStream(socket.getInputStream());
    try {
      while (true) {
        int length = in.readUnsignedByte() << 16 | in.readUnsignedShort();
        int type = in.readUnsignedByte();
        in.skipNBytes(1 + Integer.BYTES + length);
        if (type == FRAME_TYPE_PING) {
          return true;
        }
      }
    } catch (EOFException | SocketException e) {
      return false;
    }
  }

  private static void writeQuietly(Socket socket, byte[] bytes) {
    try {
      socket.getOutputStream().write(bytes);
    } catch (IOException e) {
      // The service has closed the connection; the test looks at the process.
    }
  }

  private static byte[] partialCalls() {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    out.writeBytes("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
    writeFrame(out, FRAME_TYPE_SETTINGS, 0, 0, new byte[0]);
    ByteArrayOutputStream headers = new ByteArrayOutputStream();
    writeField(headers, ":method", "POST");
    writeField(headers, ":scheme", "http");
    writeField(headers, ":path", "/envoy.service.ratelimit.v3.RateLimitService/ShouldRateLimit");
    writeField(headers, ":authority", "a");
    writeField(headers, "content-type", "application/grpc");
    writeField(headers, "te", "trailers");
    byte[] messageStart = new byte[FRAME_BYTES];
    messageStart[3] = (byte) (64_000 >> 8); // An uncompressed message of 64,000 bytes.
    for (int i = 0; i < GRPC_STREAMS; i++) {
      int stream = 1 + 2 * i;
      writeFrame(out, FRAME_TYPE_HEADERS, FLAG_END_HEADERS, stream, headers.toByteArray());
      writeFrame(out, FRAME_TYPE_DATA, 0, stream, messageStart);
      writeFrame(out, FRAME_TYPE_DATA, 0, stream, new byte[FRAME_BYTES]);
      writeFrame(out, FRAME_TYPE_DATA, 0, stream, new byte[FRAME_BYTES]);
    }
    writeFrame(out, FRAME_TYPE_PING, 0, 0, new byte[8]);
    return out.toByteArray();
  }

  /** Writes a field without indexing and without Huffman coding (RFC 7541, section 6.2.2). */
  private static void writeField(ByteArrayOutputStream out, String name, String value) {
    out.write(0);
    out.write(name.length());
    out.writeBytes(name.getBytes(StandardCharsets.US_ASCII));
    out.write(value.length());
    out.writeBytes(value.getBytes(StandardCharsets.US_ASCII));
  }

  private static void writeFrame(
      ByteArrayOutputStream out, int type, int flags, int stream, byte[] payload) {
    out.write(payload.length >> 16);
    out.write(payload.length >> 8);
    out.write(payload.length);
    out.write(type);
    out.write(flags);
    out.write(stream >> 24);
    out.write(stream >> 16);
    out.write(stream >> 8);
    out.write(stream);
    out.writeBytes(payload);
  }
}
