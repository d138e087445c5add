package fawndock.counter;

import static org.junit.jupiter.api.Assertions.assertThrows;

import fawndock.counter.config.CounterSettings;
import fawndock.counter.storage.GroupCommit.Durability;
import fawndock.settings.Address;
import fawndock.settings.LogSettings;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.io.TempDir;
import redis.clients.jedis.Jedis;
import redis.clients.jedis.exceptions.JedisDataException;

/** Runs a counter server on storage with fault injection; each test gets a new server. */
abstract class CounterServerFixture {
  private static final CounterSettings.Cluster STANDALONE =
      new CounterSettings.Cluster("", 1, 150, 2_000, java.util.Map.of());
  @TempDir Path directory;
  FileStorage files;
  FaultInjectingStorage storage;
  private CounterServer server;
  int port;

  @BeforeEach
  void start() throws IOException {
    start("", 1_000);
  }

  private void start(String password, long stalledClientTimeoutMillis) throws IOException {
    files = new FileStorage(directory, true);
    storage = new FaultInjectingStorage(files);
    server =
        new CounterServer(
            new CounterSettings(
                new Address("127.0.0.1", 0),
                directory,
                Durability.ALWAYS,
                100,
                1 << 20,
                password,
                1_100,
                300_000,
                stalledClientTimeoutMillis,
                new LogSettings(false, "warn"),
                STANDALONE),
            storage);
    port = server.start(bytes -> {});
  }

  @AfterEach
  void stop() throws IOException {
    server.close();
    files.close();
  }

  final void restart(String password, long stalledClientTimeoutMillis) throws IOException {
    stop();
    start(password, stalledClientTimeoutMillis);
  }

  final Jedis client() {
    return new Jedis("127.0.0.1", port, 20_000);
  }

  static String errorMessage(org.junit.jupiter.api.function.Executable call) {
    return assertThrows(JedisDataException.class, call).getMessage();
  }

  static BufferedReader reader(Socket socket) throws IOException {
    socket.setSoTimeout(20_000);
    return new BufferedReader(
        new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
  }
}
