import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/** One gatekeeper with its workers, counter and discovery, in a temporary folder. */
final class Deployment implements AutoCloseable {
  final Record record;
  final List<Worker> workers = new ArrayList<>();
  final Gatekeeper gatekeeper;
  private final CounterStandIn counter = new CounterStandIn();
  private final DiscoveryStandIn discovery;
  private final Path folder = Files.createTempDirectory("review");

  Deployment(int workerCount, long workMillis, int memoryMb, int sockets) throws IOException {
    record = new Record(Path.of(System.getProperty("case"), "record.txt"));
    List<Integer> ports = new ArrayList<>();
    for (int i = 0; i < workerCount; i++) {
      workers.add(new Worker(record, workMillis));
      ports.add(workers.get(i).port());
    }
    discovery = new DiscoveryStandIn(ports);
    gatekeeper =
        new Gatekeeper(
            record, folder, discovery.port(), counter.port(), DiscoveryStandIn.list(ports),
            memoryMb, sockets);
    Runtime.getRuntime().addShutdownHook(new Thread(this::endAtExit));
  }

  /** Ends the gatekeeper and removes the folder also when the script is ended by a signal. */
  private void endAtExit() {
    gatekeeper.close();
    try {
      deleteFolder();
    } catch (IOException e) {
      System.err.println("folder left: " + folder);
    }
  }

  /** Returns whether the disruption is wanted: not with TROUBLE=0 in the environment. */
  static boolean hasTrouble() {
    return !"0".equals(System.getenv("TROUBLE"));
  }

  /** Returns how often a request has run at all workers together. */
  int runs(String id) {
    return workers.stream().mapToInt(worker -> worker.runs.getOrDefault(id, 0)).sum();
  }

  @Override
  public void close() throws IOException {
    gatekeeper.close();
    discovery.close();
    counter.close();
    for (Worker worker : workers) {
      worker.close();
    }
    record.close();
    deleteFolder();
  }

  private void deleteFolder() throws IOException {
    if (!Files.exists(folder)) {
      return;
    }
    try (Stream<Path> files = Files.walk(folder)) {
      for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
        Files.deleteIfExists(file);
      }
    }
  }
}
