package fawndock.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import fawndock.fake.FakePlatform;
import fawndock.fake.FakeRespServer;
import fawndock.fake.RespClient;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Tests a gateway process with little memory whose clients stop in the middle of a command. */
class PartialCommandsTest {
  private static final int MEMORY_MEGABYTES = 64;
  private static final int HEAP_MEGABYTES = 19;
  private static final int SOCKETS = 1_024;

  /** Together they hold more than the heap, whichever way they stop. */
  private static final int STOPPING_CLIENTS = 400;

  private static final String HEAD = "*5\r\n$4\r\nQ.DO\r\n$16\r\n0000000000000001\r\n";

  static List<String> partialCommands() {
    String customerAndId = HEAD + "$16\r\n0000000000000002\r\n";
    return List.of(
        HEAD + "$65000\r\n" + "i".repeat(65_000) + "\r\n$",
        HEAD + "$30000\r\n" + "i".repeat(30_000) + "\r\n$35000\r\n" + "a".repeat(34_000),
        customerAndId + "$1\r\nx\r\n$65000\r\n" + "b".repeat(64_990));
  }

  /** Guards against commands that are not whole, which filled the heap and ended the process. */
  @ParameterizedTest
  @MethodSource("partialCommands")
  void clientsThatStopInTheMiddle_getAnErrorAndOthersAreServed(String partialCommand)
      throws Exception {
    try (FakePlatform platform =
        new FakePlatform(
            FakeRespServer.backendHandler(), FakeRespServer.counterHandler(), SOCKETS)) {
      platform.limitMemory(MEMORY_MEGABYTES);
      Process process = GatewayProcess.startWithHeap(platform, HEAP_MEGABYTES);
      try {
        GatewayProcess.awaitListening(platform);
        sendPartialCommands(platform, partialCommand);
        process.destroy();
        process.waitFor();
        assertEquals(0, process.exitValue());
      } finally {
        process.destroyForcibly();
      }
    }
  }

  private static void sendPartialCommands(FakePlatform platform, String partialCommand)
      throws Exception {
    List<RespClient> stoppingClients = new ArrayList<>();
    try (RespClient usualClient = new RespClient(platform.port())) {
      for (int i = 0; i < STOPPING_CLIENTS; i++) {
        RespClient client = new RespClient(platform.port());
        stoppingClients.add(client);
        client.send(partialCommand);
        if (i % 10 == 0) {
          String[] command = FakePlatform.requestCommand("look", "large", 7, 1 + i, "");
          assertEquals("value of " + command[2], usualClient.call(command));
        }
      }
      for (RespClient client : stoppingClients) {
        String response = client.readReply();
        assertTrue(response != null && response.startsWith("-ERR"), response);
      }
    } finally {
      for (RespClient client : stoppingClients) {
        client.close();
      }
    }
  }
}
