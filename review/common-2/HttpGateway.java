import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;

/** The HTTP gateway of the deploy file's jar, in a process of its own. */
final class HttpGateway implements AutoCloseable {
  private final int port;
  private final Path settings = Files.createTempFile("review", ".conf");
  private final Process process;

  /**
   * Starts a gateway.
   *
   * @param lines its settings, without the address that it listens on
   */
  HttpGateway(String... lines) throws IOException {
    try (ServerSocket reservation = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
      port = reservation.getLocalPort();
    }
    Files.writeString(
        settings, "listen 127.0.0.1:" + port + "\n" + String.join("\n", lines) + "\n");
    process =
        new ProcessBuilder("java", "-jar", "target/fawndock.jar", "run", "-c", settings.toString())
            .directory(Path.of(System.getProperty("root")).toFile())
            .redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.DISCARD)
            .start();
    Runtime.getRuntime().addShutdownHook(new Thread(process::destroyForcibly));
    settings.toFile().deleteOnExit();
  }

  /** Waits until the gateway takes connections; false after 30 s. */
  boolean awaitReady() {
    for (int i = 0; i < 300 && process.isAlive(); i++) {
      try (Socket socket = connect()) {
        return true;
      } catch (IOException e) {
        Threads.sleep(100);
      }
    }
    return false;
  }

  Socket connect() throws IOException {
    Socket socket = new Socket();
    socket.setTcpNoDelay(true);
    socket.connect(new InetSocketAddress("127.0.0.1", port), 2_000);
    return socket;
  }

  @Override
  public void close() throws IOException {
    process.destroyForcibly();
    try {
      process.waitFor(5, TimeUnit.SECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    Files.deleteIfExists(settings);
  }
}
