import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/**
 * Stand-ins of the platform's published protocol, on loopback: discovery, counter, workers and
 * clients. They do what the pages allow and otherwise behave like sound parties. The gateway is
 * started as its own process with the command {@code run} of the deploy file.
 */
final class Kit {
  static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();

  private Kit() {}

  /** Thrown when a case cannot run, which is not a verdict. */
  static final class CannotRunException extends RuntimeException {
    CannotRunException(String message) {
      super(message);
    }
  }

  // ---------------------------------------------------------------- record

  /** Writes what was sent, answered and run, with the time since the start of the case. */
  static final class Record implements Closeable {
    private final PrintWriter out;
    private final long originNanos = System.nanoTime();

    Record(Path file) throws IOException {
      out = new PrintWriter(Files.newBufferedWriter(file));
    }

    synchronized void line(String format, Object... args) {
      double millis = (System.nanoTime() - originNanos) / 1e6;
      String text = String.format(Locale.ROOT, "%10.1f ms  ", millis) + String.format(Locale.ROOT, format, args);
      out.println(text);
      out.flush();
    }

    synchronized void say(String format, Object... args) {
      line(format, args);
      System.out.println(String.format(Locale.ROOT, format, args));
    }

    @Override
    public synchronized void close() {
      out.close();
    }
  }

  // ---------------------------------------------------------------- RESP

  /** One reply of RESP2; {@code type} is the first byte. */
  record Reply(char type, byte[] bytes, List<Reply> elements) {
    String text() {
      return bytes == null ? "(null)" : new String(bytes, StandardCharsets.ISO_8859_1);
    }

    boolean isServed() {
      return (type == '$' && bytes != null)
          || (type == '*' && elements != null && !elements.isEmpty() && elements.get(0).isServed());
    }

    String brief() {
      String text = type == '*' ? "array" : text();
      return type + (text.length() > 60 ? text.substring(0, 60) + "... (" + text.length() + " bytes)" : text);
    }
  }

  /** Reads RESP2 commands and replies from a stream. */
  static final class RespReader {
    private final InputStream in;

    RespReader(InputStream in) {
      this.in = new BufferedInputStream(in, 1 << 16);
    }

    String line() throws IOException {
      ByteArrayOutputStream line = new ByteArrayOutputStream();
      for (int b = in.read(); b != '\n'; b = in.read()) {
        if (b < 0) {
          throw new EOFException("end of the connection");
        }
        line.write(b);
      }
      String text = line.toString(StandardCharsets.ISO_8859_1);
      return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
    }

    private byte[] bulk(int length) throws IOException {
      byte[] bytes = in.readNBytes(length);
      if (bytes.length < length || in.read() != '\r' || in.read() != '\n') {
        throw new EOFException("a bulk string is not whole");
      }
      return bytes;
    }

    /** Returns the next command once its last byte has come, or null at the end. */
    byte[][] command() throws IOException {
      String header;
      try {
        header = line();
      } catch (EOFException e) {
        return null;
      }
      if (!header.startsWith("*")) {
        throw new IOException("not a command: " + header);
      }
      byte[][] arguments = new byte[Integer.parseInt(header.substring(1))][];
      for (int i = 0; i < arguments.length; i++) {
        arguments[i] = bulk(Integer.parseInt(line().substring(1)));
      }
      return arguments;
    }

    Reply reply() throws IOException {
      String line = line();
      char type = line.charAt(0);
      String rest = line.substring(1);
      if (type == '$') {
        int length = Integer.parseInt(rest);
        return new Reply(type, length < 0 ? null : bulk(length), null);
      }
      if (type == '*') {
        int count = Integer.parseInt(rest);
        List<Reply> elements = new ArrayList<>();
        for (int i = 0; i < count; i++) {
          elements.add(reply());
        }
        return new Reply(type, null, elements);
      }
      return new Reply(type, rest.getBytes(StandardCharsets.ISO_8859_1), null);
    }
  }

  static byte[] encode(byte[]... words) {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    out.writeBytes(("*" + words.length + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
    for (byte[] word : words) {
      out.writeBytes(("$" + word.length + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
      out.writeBytes(word);
      out.writeBytes(new byte[] {'\r', '\n'});
    }
    return out.toByteArray();
  }

  static byte[] encode(String... words) {
    byte[][] bytes = new byte[words.length][];
    for (int i = 0; i < words.length; i++) {
      bytes[i] = words[i].getBytes(StandardCharsets.ISO_8859_1);
    }
    return encode(bytes);
  }

  static String text(byte[] bytes) {
    return new String(bytes, StandardCharsets.ISO_8859_1);
  }

  // ---------------------------------------------------------------- servers

  interface ConnectionHandler {
    void serve(Socket socket) throws Exception;
  }

  /** Accepts connections on a free loopback port and serves each on a thread of its own. */
  static class Server implements Closeable {
    final ServerSocket serverSocket;
    private final List<Socket> sockets = new ArrayList<>();
    private volatile boolean isClosed;

    Server(String name, int backlog, ConnectionHandler handler) throws IOException {
      serverSocket = new ServerSocket(0, backlog, LOOPBACK);
      daemon(name, () -> accept(name, handler));
    }

    private void accept(String name, ConnectionHandler handler) throws Exception {
      while (!isClosed) {
        beforeAccept();
        Socket socket = serverSocket.accept();
        synchronized (sockets) {
          sockets.add(socket);
        }
        socket.setTcpNoDelay(true);
        daemon(
            name,
            () -> {
              try {
                handler.serve(socket);
              } finally {
                socket.close();
                synchronized (sockets) {
                  sockets.remove(socket);
                }
              }
            });
      }
    }

    void beforeAccept() throws Exception {}

    String address() {
      return "127.0.0.1:" + serverSocket.getLocalPort();
    }

    @Override
    public void close() throws IOException {
      isClosed = true;
      serverSocket.close();
      synchronized (sockets) {
        for (Socket socket : sockets) {
          socket.close();
        }
      }
    }
  }

  interface Body {
    void run() throws Exception;
  }

  static Thread daemon(String name, Body body) {
    Thread thread =
        new Thread(
            () -> {
              try {
                body.run();
              } catch (Exception e) {
                // A broken connection ends its thread; what it meant is judged by the case.
              }
            },
            name);
    thread.setDaemon(true);
    thread.start();
    return thread;
  }

  // ---------------------------------------------------------------- discovery

  /** Discovery: the whole list, and a watch that brings an empty line every 2 s. */
  static Server discovery(Map<String, String> workers) throws IOException {
    StringBuilder entries = new StringBuilder();
    workers.forEach(
        (name, address) ->
            entries
                .append(entries.length() == 0 ? "" : ",")
                .append("{\"name\":\"").append(name).append("\",\"address\":\"").append(address)
                .append("\",\"zone\":\"sala-norte\",\"type\":\"chico-2\",\"group\":0,")
                .append("\"status\":\"ready\",\"weight\":1.0,\"since_ms\":0}"));
    String list = "{\"index\":41,\"snapshot\":true,\"endpoints\":[" + entries + "]}\n";
    return new Server("discovery", 64, socket -> serveDiscovery(socket, list));
  }

  private static void serveDiscovery(Socket socket, String list) throws Exception {
    RespReader in = new RespReader(socket.getInputStream());
    OutputStream out = socket.getOutputStream();
    while (true) {
      String request = in.line();
      while (!in.line().isEmpty()) {
        // Headers are not needed.
      }
      if (!request.contains("stream=1")) {
        String head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " + list.length() + "\r\n\r\n";
        out.write((head + list).getBytes(StandardCharsets.UTF_8));
        out.flush();
        continue;
      }
      out.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".getBytes(StandardCharsets.UTF_8));
      while (true) {
        out.write("1\r\n\n\r\n".getBytes(StandardCharsets.UTF_8));
        out.flush();
        Thread.sleep(2_000);
      }
    }
  }

  // ---------------------------------------------------------------- counter

  /** The counter: ADDGET adds at once and tells the total. */
  static Server counter() throws IOException {
    Map<String, Double> totals = new HashMap<>();
    return new Server(
        "counter",
        64,
        socket -> {
          RespReader in = new RespReader(socket.getInputStream());
          OutputStream out = socket.getOutputStream();
          for (byte[][] words = in.command(); words != null; words = in.command()) {
            String name = text(words[0]).toUpperCase(Locale.ROOT);
            if (name.equals("ADDGET")) {
              double total;
              synchronized (totals) {
                total = totals.merge(text(words[1]), Double.parseDouble(text(words[2])), Double::sum);
              }
              out.write(encode(new byte[0]), 0, 0);
              String number = Double.toString(total);
              out.write(("$" + number.length() + "\r\n" + number + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
            } else {
              out.write("+OK\r\n".getBytes(StandardCharsets.ISO_8859_1));
            }
            out.flush();
          }
        });
  }

  // ---------------------------------------------------------------- clients

  /** A client's connection. */
  static final class Client implements Closeable {
    final Socket socket;
    final OutputStream out;
    final RespReader in;

    Client(int port) throws IOException {
      this(port, 0);
    }

    Client(int port, int receiveBufferBytes) throws IOException {
      socket = new Socket();
      if (receiveBufferBytes > 0) {
        socket.setReceiveBufferSize(receiveBufferBytes);
      }
      socket.connect(new InetSocketAddress(LOOPBACK, port), 5_000);
      socket.setTcpNoDelay(true);
      out = socket.getOutputStream();
      in = new RespReader(socket.getInputStream());
    }

    void send(byte[] bytes) throws IOException {
      out.write(bytes);
      out.flush();
    }

    @Override
    public void close() throws IOException {
      socket.close();
    }
  }

  static String id(long number) {
    return String.format("%016x", number);
  }

  // ---------------------------------------------------------------- gateway

  /** One gateway, started with the command {@code run} of the deploy file. */
  static final class Gateway implements Closeable {
    final int port;
    final Process process;
    final Path log;
    private final Process guard;

    Gateway(Path root, Path folder, String settings, int memoryMegabytes, int sockets, String discovery, String counter)
        throws Exception {
      port = freePort();
      log = folder.resolve("gateway.log");
      Path config = folder.resolve("config.json");
      Path temporary = Files.createDirectory(folder.resolve("tmp"));
      Files.writeString(
          config,
          "{\"name\":\"n0\",\"listen\":\"127.0.0.1:" + port + "\",\"discovery\":\"" + discovery
              + "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"cores\":1.0,\"memory_mb\":" + memoryMegabytes
              + ",\"sockets\":" + sockets + "},\"counter\":\"" + counter + "\",\"settings\":" + settings + "}");
      ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", deployCommand(root));
      builder.directory(root.toFile());
      builder.redirectErrorStream(true);
      builder.redirectOutput(log.toFile());
      builder.redirectInput(ProcessBuilder.Redirect.from(new java.io.File("/dev/null")));
      builder.environment().put("RELAY_NAME", "n0");
      builder.environment().put("RELAY_LISTEN", "127.0.0.1:" + port);
      builder.environment().put("RELAY_DISCOVERY", discovery);
      builder.environment().put("RELAY_CONFIG", config.toString());
      builder.environment().put("TMPDIR", temporary.toString());
      process = builder.start();
      guard = startGuard(process.pid(), folder);
      Runtime.getRuntime().addShutdownHook(new Thread(this::close));
    }

    /** Ends the gateway if this process is killed: its end of the pipe closes, and the read fails. */
    private static Process startGuard(long pid, Path folder) throws IOException {
      return new ProcessBuilder(
              "/bin/sh", "-c", "read -r line || { kill -9 " + pid + "; rm -rf '" + folder + "'; }")
          .redirectOutput(ProcessBuilder.Redirect.DISCARD)
          .redirectError(ProcessBuilder.Redirect.DISCARD)
          .start();
    }

    private static String deployCommand(Path root) throws IOException {
      for (String line : Files.readAllLines(root.resolve("deploy/balancer.toml"))) {
        if (line.startsWith("run = \"")) {
          return line.substring("run = \"".length(), line.lastIndexOf('"'));
        }
      }
      throw new CannotRunException("deploy/balancer.toml has no 'run'");
    }

    private static int freePort() throws IOException {
      try (ServerSocket socket = new ServerSocket(0, 1, LOOPBACK)) {
        return socket.getLocalPort();
      }
    }

    /** Waits until the gateway answers PING with +PONG. */
    void awaitReady() throws Exception {
      long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(30);
      while (System.nanoTime() < endNanos && process.isAlive()) {
        try (Client client = new Client(port)) {
          client.socket.setSoTimeout(1_000);
          client.send(encode("PING"));
          if (client.in.reply().text().equals("PONG")) {
            return;
          }
        } catch (IOException e) {
          Thread.sleep(100);
        }
      }
      throw new CannotRunException("the gateway did not get ready: " + Files.readString(log));
    }

    @Override
    public void close() {
      end(process);
      end(guard);
    }

    private static void end(Process ended) {
      ended.destroyForcibly();
      try {
        ended.waitFor(5, TimeUnit.SECONDS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
  }

  // ---------------------------------------------------------------- case

  interface Case {
    /** Returns whether the rule held. */
    boolean play(Path root, Path temporary, Record record, boolean hasTrouble) throws Exception;
  }

  /** A case ends by itself after this time. */
  private static final long MAX_SECONDS = 112;

  /** Plays a case: exits with 0 if the rule held, 1 if it was broken, 2 if the case could not run. */
  static void main(String[] args, Case theCase) {
    int exitCode = 2;
    try {
      exitCode = play(Path.of(args[0]).toAbsolutePath(), Path.of(args[1]), theCase);
    } catch (Throwable e) {
      e.printStackTrace();
    }
    System.exit(exitCode);
  }

  private static int play(Path folder, Path recordFile, Case theCase) throws Exception {
    Path root = folder.getParent().getParent();
    boolean hasTrouble = !"0".equals(System.getenv("TROUBLE"));
    Path temporary = Files.createTempDirectory("fawndock-review-");
    Runtime.getRuntime().addShutdownHook(new Thread(() -> deleteTree(temporary)));
    try (Record record = new Record(recordFile)) {
      daemon(
          "watchdog",
          () -> {
            TimeUnit.SECONDS.sleep(MAX_SECONDS);
            record.say("the case could not run: it took over %d s", MAX_SECONDS);
            System.exit(2);
          });
      try {
        record.line("disruption: %s", hasTrouble ? "on" : "off (TROUBLE=0)");
        boolean held = theCase.play(root, temporary, record, hasTrouble);
        record.say(held ? "the rule held" : "the rule was BROKEN");
        return held ? 0 : 1;
      } catch (Throwable e) {
        record.say("the case could not run: %s", e);
        e.printStackTrace();
        return 2;
      }
    }
  }

  private static void deleteTree(Path folder) {
    try (Stream<Path> files = Files.walk(folder)) {
      files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
    } catch (IOException e) {
      // What is left lies in the folder for temporary files.
    }
  }
}
