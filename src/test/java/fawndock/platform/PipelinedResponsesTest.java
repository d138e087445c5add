package fawndock.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import fawndock.fake.FakePlatform;
import fawndock.fake.FakeRespServer;
import fawndock.fake.RespClient;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;

/**
 * Tests a gateway process with bounded memory whose clients send many commands at once and get long
 * responses that wait for the first one.
 */
class PipelinedResponsesTest {
  private static final int ROUNDS = 2;

  /** Commands that a client sends at once; the gateway takes 64. */
  private static final int PIPELINED_COMMANDS = 60;

  /** Commands of one write; a short pause follows, so that the backend keeps up. */
  private static final int COMMANDS_PER_WRITE = 8;

  private static final long PAUSE_MILLIS = 100;
  private static final int VALUE_BYTES = 64 << 10;
  private static final long SLOW_MILLIS = 850;
  private static final String SLOW_CLASS = "pay";
  private static final String FAST_CLASS = "look";

  /** Endpoints at the address of the one backend, so that many attempts may be in flight. */
  private static final int ENDPOINTS = 16;

  private final AtomicLong nextId = new AtomicLong(1);

  private static void respond(List<String> command, FakeRespServer.Connection connection)
      throws IOException, InterruptedException {
    String value = expectedPrefix(command.get(2));
    if (command.get(3).startsWith("c=" + SLOW_CLASS)) {
      Thread.sleep(SLOW_MILLIS);
    } else {
      value += "x".repeat(VALUE_BYTES - value.length());
    }
    connection.send(FakeRespServer.backendResponse(value, "backlog=0"));
  }

  private static String expectedPrefix(String requestId) {
    return "value of " + requestId + ";";
  }

  private String[] newRequest(String requestClass) {
    String[] command =
        FakePlatform.requestCommand(requestClass, "large", 7, nextId.getAndIncrement(), "");
    command[3] = command[3].replace("d=1500", "d=5000");
    return command;
  }

  /** Sends many fast requests behind a slow one; returns how many got their value. */
  private int sendPipelined(RespClient client) throws IOException, InterruptedException {
    List<String> ids = new ArrayList<>();
    StringBuilder commands = new StringBuilder();
    for (int i = 0; i < PIPELINED_COMMANDS; i++) {
      String[] command = newRequest(i == 0 ? SLOW_CLASS : FAST_CLASS);
      ids.add(command[2]);
      commands.append(RespClient.encodeCommand(command));
      if ((i + 1) % COMMANDS_PER_WRITE == 0 || i + 1 == PIPELINED_COMMANDS) {
        client.send(commands.toString());
        commands.setLength(0);
        Thread.sleep(PAUSE_MILLIS);
      }
    }
    int servedCount = 0;
    for (String id : ids) {
      String response = client.readReply();
      boolean isServed = response != null && response.startsWith(expectedPrefix(id));
      boolean isError = response != null && response.startsWith("-");
      assertTrue(isServed || isError, () -> id + " got " + abbreviate(response));
      servedCount += isServed ? 1 : 0;
    }
    return servedCount;
  }

  private static String abbreviate(String response) {
    return response == null
        ? "no response"
        : response.substring(0, Math.min(40, response.length()));
  }

  private int sendPipelinedFromClients(FakePlatform platform, int clientCount) throws Exception {
    ExecutorService threads = Executors.newFixedThreadPool(clientCount);
    try {
      List<CompletableFuture<Integer>> servedCounts = new ArrayList<>();
      for (int i = 0; i < clientCount; i++) {
        servedCounts.add(
            CompletableFuture.supplyAsync(
                () -> {
                  int servedCount = 0;
                  try (RespClient client = new RespClient(platform.port())) {
                    for (int round = 0; round < ROUNDS; round++) {
                      servedCount += sendPipelined(client);
                    }
                  } catch (IOException | InterruptedException e) {
                    throw new IllegalStateException(e);
                  }
                  return servedCount;
                },
                threads));
      }
      int servedCount = 0;
      for (CompletableFuture<Integer> count : servedCounts) {
        servedCount += count.get(60, TimeUnit.SECONDS);
      }
      return servedCount;
    } finally {
      threads.shutdownNow();
    }
  }

  private int playInProcess(int memoryMegabytes, int heapMegabytes, int clientCount)
      throws Exception {
    try (FakePlatform platform =
        new FakePlatform(PipelinedResponsesTest::respond, FakeRespServer.counterHandler())) {
      platform.limitMemory(memoryMegabytes);
      platform.listEndpoints(ENDPOINTS);
      Process process = GatewayProcess.startWithHeap(platform, heapMegabytes);
      try {
        GatewayProcess.awaitListening(platform);
        int servedCount = sendPipelinedFromClients(platform, clientCount);
        assertTrue(process.isAlive(), "the gateway ended");
        process.destroy();
        assertTrue(process.waitFor(20, TimeUnit.SECONDS));
        assertEquals(0, process.exitValue());
        return servedCount;
      } finally {
        process.destroyForcibly();
      }
    }
  }

  /**
   * Guards against responses that were dropped unnoticed when joined writes did not fit in direct
   * memory, so that clients got the values of other requests.
   */
  @Test
  void longResponses_behindASlowOne_reachTheirRequests() throws Exception {
    assertTrue(playInProcess(192, 57, 6) > 0);
  }

  /** Guards against an exhausted heap by responses that wait for an earlier one. */
  @Test
  void longResponses_beyondTheHeap_endInErrorsInsteadOfTheProcess() throws Exception {
    assertTrue(playInProcess(64, 20, 10) > 0);
  }
}
