package fawndock.fake;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * A fake of the platform around one gateway, on loopback: one backend, the counter, endpoint
 * discovery and the configuration file with their addresses, plans and request classes.
 */
public final class FakePlatform implements AutoCloseable {
  private static final String SETTINGS =
      """
            {"azs":["a"],"caps":{"cancel":true,"conn-idle-us":3000000,"connect-timeout-us":250000,"max-attempts":3,
            "max-open":5000,"max-retry-after-us":2000000,"may-duplicate":false,"probes":false,"retry-after":true},
            "classes":[{"name":"look","aim-us":800000,"deadline-us":1000000,"idempotency":"idempotent","worth":1.0},
            {"name":"note","aim-us":500000,"deadline-us":1000000,"idempotency":"deduplicated","group":"all",
            "window-us":1200000,"worth":3.0},
            {"name":"pay","aim-us":900000,"deadline-us":1000000,"idempotency":"at_most_once","worth":5.0}],
            "extra":{"count-wait-us":80000,"counter":true,"most-units":4},"family":"gate","locality":"a","me":0,
            "load-info":{"how":"piggyback","names":["recent_ms","throughput","backlog"]},
            "packages":[{"name":"small","over-cost":1.0,"pays":1.0,"rate":0.01,"store-size":2.0},
            {"name":"large","over-cost":1.0,"pays":1.0,"rate":5000.0,"store-size":9000.0}],
            "peers-total":2,"registry-mode":"automatic","round-us":2000,"rules":{"ask-within-us":10000000,
            "cold-share":0.2,"cold-us":18000000,"drain-grace-us":500000,"fall-multiple":2.0,"fall-us":3000000,
            "grace-to-answer-us":16000}}""";
  private final Path configurationFile;
  private final int port;
  private final int socketLimit;
  private int memoryMegabytes = 128;
  public final FakeRespServer backend;
  public final FakeRespServer counter;
  public final FakeDiscoveryServer discovery;

  /** Creates a platform whose backend and counter reply through the given handlers. */
  public FakePlatform(
      FakeRespServer.CommandHandler backendHandler, FakeRespServer.CommandHandler counterHandler)
      throws IOException {
    this(backendHandler, counterHandler, 256);
  }

  /**
   * Creates a platform that limits the file descriptors of the gateway.
   *
   * @param socketLimit maximum of file descriptors, written to the configuration
   */
  public FakePlatform(
      FakeRespServer.CommandHandler backendHandler,
      FakeRespServer.CommandHandler counterHandler,
      int socketLimit)
      throws IOException {
    this.socketLimit = socketLimit;
    this.backend = new FakeRespServer(backendHandler);
    this.counter = new FakeRespServer(counterHandler);
    discovery =
        new FakeDiscoveryServer(
            FakeDiscoveryServer.endpointListJson(
                7, true, "w1", "127.0.0.1:" + this.backend.port(), "ready"));
    try (ServerSocket portReservation =
        new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
      port = portReservation.getLocalPort();
    }
    configurationFile = Files.createTempFile("fawndock-platform", ".json");
    writeConfiguration(discovery.port(), this.counter.port());
  }

  /** Writes the configuration file with the given ports of discovery and counter. */
  public void writeConfiguration(int discoveryPort, int counterPort) throws IOException {
    writeFile(
        "{\"name\":\"g0\",\"listen\":\"127.0.0.1:"
            + port
            + "\",\"discovery\":\"127.0.0.1:"
            + discoveryPort
            + "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"cores\":1.0,\"memory_mb\":"
            + memoryMegabytes
            + ",\"sockets\":"
            + socketLimit
            + "},\"counter\":\"127.0.0.1:"
            + counterPort
            + "\",\"settings\":"
            + SETTINGS
            + "}");
  }

  /** Limits the memory of the gateway, as written to the configuration. */
  public void limitMemory(int megabytes) throws IOException {
    memoryMegabytes = megabytes;
    writeConfiguration(discovery.port(), counter.port());
  }

  /** Makes discovery list this many endpoints, all at the address of the backend. */
  public void listEndpoints(int count) {
    List<String> endpoints = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      endpoints.addAll(List.of("w" + i, "127.0.0.1:" + backend.port(), "ready"));
    }
    discovery.setSnapshot(
        FakeDiscoveryServer.endpointListJson(8, true, endpoints.toArray(new String[0])));
  }

  /** Writes a text to the configuration file, whether it is valid or not. */
  public void writeFile(String text) throws IOException {
    Files.writeString(configurationFile, text);
  }

  /** Returns the environment variables that the platform sets for a gateway. */
  public Map<String, String> environment() {
    return Map.of("RELAY_CONFIG", configurationFile.toString(), "RELAY_NAME", "g0");
  }

  /** Returns the port on which the gateway listens. */
  public int port() {
    return port;
  }

  /** Returns the words of a request command as the platform's clients send it. */
  public static String[] requestCommand(
      String requestClass,
      String plan,
      long customer,
      long requestId,
      String additionalAttributes) {
    String idempotencyAttribute = requestClass.equals("note") ? ",k=5c0f6e1a2b3d4c59" : "";
    return new String[] {
      requestClass.equals("look") ? "Q.ASK" : "Q.DO",
      String.format("%016x", customer),
      String.format("%016x", requestId),
      "c="
          + requestClass
          + ",t="
          + plan
          + ",d=1500"
          + idempotencyAttribute
          + ",units=1,spread=1,first=0"
          + additionalAttributes
    };
  }

  @Override
  public void close() throws IOException {
    backend.close();
    counter.close();
    discovery.close();
    Files.deleteIfExists(configurationFile);
  }
}
