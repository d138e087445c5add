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

/** Tests a gateway process with little memory whose backends send replies that never end. */
class PartialRepliesTest {
  private static final int MEMORY_MEGABYTES = 64;
  private static final int HEAP_MEGABYTES = 19;
  private static final int SOCKETS = 1_024;
  private static final int CLIENTS = 8;
  private static final int PIPELINED_COMMANDS = 40;
  private static final int ENDPOINTS = 40;
  private static final String WORD = "$65000\r\n" + "v".repeat(65_000) + "\r\n";

  static List<String> partialReplies() {
    return List.of("*8\r\n" + WORD.repeat(7) + "$", "*3\r\n" + WORD, "*3\r\n" + WORD.repeat(2));
  }

  /** Guards against replies that are not whole, which filled the heap and ended the process. */
  @ParameterizedTest
  @MethodSource("partialReplies")
  void repliesThatNeverEnd_failTheirRequestsAndLeaveTheProcessRunning(String partialReply)
      throws Exception {
    FakeRespServer.CommandHandler backend =
        (command, connection) -> {
          if (command.get(3).startsWith("c=pay")) {
            connection.send(partialReply);
          } else {
            FakeRespServer.backendHandler().onCommand(command, connection);
          }
        };
    try (FakePlatform platform =
        new FakePlatform(backend, FakeRespServer.counterHandler(), SOCKETS)) {
      platform.limitMemory(MEMORY_MEGABYTES);
      platform.listEndpoints(ENDPOINTS);
      Process process = GatewayProcess.startWithHeap(platform, HEAP_MEGABYTES);
      try {
        GatewayProcess.awaitListening(platform);
        sendRequests(platform);
        process.destroy();
        process.waitFor();
        assertEquals(0, process.exitValue());
      } finally {
        process.destroyForcibly();
      }
    }
  }

  private static void sendRequests(FakePlatform platform) throws Exception {
    List<RespClient> clients = new ArrayList<>();
    long nextId = 1;
    try {
      for (int i = 0; i < CLIENTS; i++) {
        RespClient client = new RespClient(platform.port());
        clients.add(client);
        StringBuilder commands = new StringBuilder();
        for (int k = 0; k < PIPELINED_COMMANDS; k++) {
          String[] command = FakePlatform.requestCommand("pay", "large", 7, nextId++, "");
          command[3] = command[3].replace("d=1500", "d=5000");
          commands.append(RespClient.encodeCommand(command));
        }
        client.send(commands.toString());
      }
      for (RespClient client : clients) {
        for (int k = 0; k < PIPELINED_COMMANDS; k++) {
          String response = client.readReply();
          assertTrue(response != null && response.startsWith("-"), response);
        }
      }
      try (RespClient usualClient = new RespClient(platform.port())) {
        String[] command = FakePlatform.requestCommand("look", "large", 7, nextId, "");
        assertEquals("value of " + command[2], usualClient.call(command));
      }
    } finally {
      for (RespClient client : clients) {
        client.close();
      }
    }
  }
}
