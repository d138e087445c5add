package fawndock.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import fawndock.fake.FakePlatform;
import fawndock.fake.FakeRespServer;
import fawndock.fake.RespClient;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;

/**
 * Tests a gateway process with little memory whose requests all come from different customers. For
 * a long run, set {@code -Dflood.requests=600000} and {@code
 * -Djunit.jupiter.execution.timeout.default=10m}.
 */
class CustomerFloodTest {
  private static final int REQUESTS = Integer.getInteger("flood.requests", 30_000);
  private static final int CLIENTS = 4;
  private static final int PIPELINED_COMMANDS = 10;
  private static final long SEED = 63;
  private static final long CUSTOMERS = 1L << 33;
  private static final int MEMORY_MEGABYTES = 32;
  private static final int HEAP_MEGABYTES = 16;
  private static final int ENDPOINTS = 16;

  private final AtomicLong nextId = new AtomicLong(1);

  /** Sends requests of new customers; returns how many got their value. */
  private int sendRequests(FakePlatform platform, SplittableRandom random) throws IOException {
    int servedCount = 0;
    try (RespClient client = new RespClient(platform.port())) {
      for (int sent = 0; sent < REQUESTS / CLIENTS; sent += PIPELINED_COMMANDS) {
        servedCount += sendPipelined(client, random);
      }
    }
    return servedCount;
  }

  private int sendPipelined(RespClient client, SplittableRandom random) throws IOException {
    List<String> ids = new ArrayList<>();
    StringBuilder commands = new StringBuilder();
    for (int i = 0; i < PIPELINED_COMMANDS; i++) {
      String[] command =
          FakePlatform.requestCommand(
              "look", "large", random.nextLong(CUSTOMERS), nextId.getAndIncrement(), "");
      ids.add(command[2]);
      commands.append(RespClient.encodeCommand(command));
    }
    client.send(commands.toString());
    int servedCount = 0;
    for (String id : ids) {
      String response = client.readReply();
      boolean isServed = ("value of " + id).equals(response);
      assertTrue(isServed || (response != null && response.startsWith("-")), () -> id + response);
      servedCount += isServed ? 1 : 0;
    }
    return servedCount;
  }

  private int sendFromClients(FakePlatform platform) throws Exception {
    ExecutorService threads = Executors.newFixedThreadPool(CLIENTS);
    try {
      SplittableRandom random = new SplittableRandom(SEED);
      List<Callable<Integer>> clients = new ArrayList<>();
      for (int i = 0; i < CLIENTS; i++) {
        SplittableRandom clientRandom = random.split();
        clients.add(() -> sendRequests(platform, clientRandom));
      }
      int servedCount = 0;
      for (Future<Integer> client : threads.invokeAll(clients)) {
        servedCount += client.get();
      }
      return servedCount;
    } finally {
      threads.shutdownNow();
    }
  }

  /** Guards against quotas of customers who came only once, which filled the heap. */
  @Test
  void customersWhoComeOnce_getAnswersAndLeaveTheProcessRunning() throws Exception {
    try (FakePlatform platform =
        new FakePlatform(FakeRespServer.backendHandler(), FakeRespServer.counterHandler())) {
      platform.limitMemory(MEMORY_MEGABYTES);
      platform.listEndpoints(ENDPOINTS);
      Process process = GatewayProcess.startWithHeap(platform, HEAP_MEGABYTES);
      try {
        GatewayProcess.awaitListening(platform);
        int servedCount = sendFromClients(platform);
        assertTrue(servedCount > 0);
        process.destroy();
        assertTrue(process.waitFor(20, TimeUnit.SECONDS));
        assertEquals(0, process.exitValue());
      } finally {
        process.destroyForcibly();
      }
    }
  }
}
