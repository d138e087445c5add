import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** One gatekeeper in a process of its own, started by the command `run` of the deploy file. */
final class Gatekeeper implements AutoCloseable {
  final int port;
  final Process process;
  private final Record record;

  /** Settings of a small deployment, by the names of the wire. */
  static final String SETTINGS =
      "{\"azs\":[\"a\"],\"callers\":{\"marks-retry\":true},"
          + "\"caps\":{\"cancel\":true,\"conn-idle-us\":15000000,\"connect-timeout-us\":250000,"
          + "\"max-attempts\":4,\"max-open\":30000,\"max-retry-after-us\":1000000,"
          + "\"may-duplicate\":false,\"peers\":false,\"probes\":false,\"retry-after\":true,"
          + "\"streams-per-conn\":1},"
          + "\"classes\":["
          + "{\"name\":\"lookup\",\"aim-us\":800000,\"deadline-us\":3000000,\"worth\":1,"
          + "\"late-worth\":0,\"idempotency\":\"idempotent\",\"group\":\"all\","
          + "\"window-us\":5000000,\"streaming\":false},"
          + "{\"name\":\"order\",\"aim-us\":1500000,\"deadline-us\":5000000,\"worth\":5,"
          + "\"late-worth\":0,\"idempotency\":\"at_most_once\",\"group\":\"all\","
          + "\"window-us\":5000000,\"streaming\":false}],"
          + "\"extra\":{\"counter\":true,\"count-wait-us\":80000,\"most-units\":1,"
          + "\"trued-up\":false,\"meter-us\":0},"
          + "\"load-info\":{\"how\":\"silent\",\"names\":[]},\"locality\":\"a\",\"me\":0,"
          + "\"packages\":[{\"name\":\"team\",\"rate\":400,\"store-size\":800,\"concurrency\":0,"
          + "\"pays\":1,\"extra-worth\":0,\"over-cost\":1,\"hard-rate\":0,\"ceiling-burst\":0,"
          + "\"tolerance\":0}],"
          + "\"peers-total\":1,\"registry-mode\":\"automatic\",\"round-us\":4000,"
          + "\"rules\":{\"ask-within-us\":10000000,\"cold-share\":0.2,\"cold-us\":18000000,"
          + "\"drain-grace-us\":2000000,\"fall-multiple\":4,\"fall-us\":1000000,"
          + "\"grace-to-answer-us\":16000},\"tier\":0,\"weight-source\":\"silent\"}";

  Gatekeeper(
      Record record,
      Path folder,
      int discoveryPort,
      int counterPort,
      String known,
      int memoryMb,
      int sockets)
      throws IOException {
    this.record = record;
    try (ServerSocket reservation = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
      port = reservation.getLocalPort();
    }
    String config =
        "{\"name\":\"n0\",\"listen\":\"127.0.0.1:" + port
            + "\",\"discovery\":\"127.0.0.1:" + discoveryPort
            + "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"cores\":1.0,\"memory_mb\":" + memoryMb
            + ",\"sockets\":" + sockets + "},\"counter\":\"127.0.0.1:" + counterPort
            + "\",\"known\":" + known + ",\"settings\":" + SETTINGS + "}";
    Path file = folder.resolve("config.json");
    Files.writeString(file, config);
    Path temporary = Files.createDirectories(folder.resolve("tmp"));
    ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", runCommand());
    builder.directory(Path.of(System.getProperty("root")).toFile());
    builder.environment().put("RELAY_NAME", "n0");
    builder.environment().put("RELAY_LISTEN", "127.0.0.1:" + port);
    builder.environment().put("RELAY_DISCOVERY", "127.0.0.1:" + discoveryPort);
    builder.environment().put("RELAY_CONFIG", file.toString());
    builder.environment().put("TMPDIR", temporary.toString());
    process = builder.redirectErrorStream(true).start();
    Runtime.getRuntime().addShutdownHook(new Thread(process::destroyForcibly));
    Threads.start("gatekeeper-log", this::copyLog);
  }

  /** Returns the command `run` of deploy/balancer.toml. */
  private static String runCommand() throws IOException {
    Pattern run = Pattern.compile("run *= *\"(.*?)\".*");
    for (String line :
        Files.readAllLines(Path.of(System.getProperty("root"), "deploy", "balancer.toml"))) {
      Matcher matcher = run.matcher(line);
      if (matcher.matches()) {
        return matcher.group(1);
      }
    }
    throw new IOException("the deploy file has no line 'run'");
  }

  private void copyLog() {
    try (BufferedReader log =
        new BufferedReader(new InputStreamReader(process.getInputStream()))) {
      for (String line = log.readLine(); line != null; line = log.readLine()) {
        record.line("log %s", line);
      }
    } catch (IOException e) {
      // The process has ended.
    }
  }

  /** Waits until the gatekeeper answers PING, as the front does; false after 30 s. */
  boolean awaitReady() {
    long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(30);
    while (System.nanoTime() < deadline && process.isAlive()) {
      try (Socket socket = connect()) {
        socket.setSoTimeout(1_000);
        socket.getOutputStream().write(Resp.command("PING"));
        if (new Resp.Reader(socket.getInputStream()).reply().equals("+PONG")) {
          return true;
        }
      } catch (IOException e) {
        Threads.sleep(50);
      }
    }
    return false;
  }

  /** Opens a client's connection. */
  Socket connect() throws IOException {
    Socket socket = new Socket();
    socket.setTcpNoDelay(true);
    socket.connect(new InetSocketAddress("127.0.0.1", port), 2_000);
    return socket;
  }

  /** Sends a signal to the gatekeeper's process. */
  void signal(String name) throws IOException {
    new ProcessBuilder(List.of("kill", "-" + name, Long.toString(process.pid())))
        .inheritIO()
        .start();
  }

  @Override
  public void close() {
    process.destroyForcibly();
    try {
      process.waitFor(5, TimeUnit.SECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
