package fawndock.scenario;

import fawndock.fake.FakePlatform;
import fawndock.fake.FakeRespServer;
import fawndock.fake.RespClient;
import fawndock.platform.PlatformProcess;
import fawndock.policy.DefaultGatewayPolicy;
import java.io.IOException;
import java.io.PrintStream;
import java.util.concurrent.TimeUnit;

/**
 * Scenario {@code platform}: one gateway of package {@code fawndock.platform} and the fakes that
 * surround it, in one process. It serves requests of every class, refuses requests over quota, gets
 * invalid input and a new configuration, and stops. The build archives the classes that this
 * scenario loads (class data sharing), so it must cover what a gateway does in operation.
 */
public final class PlatformScenario {
  private static final int CONNECTIONS = 4;
  private final int requestCount;
  private final PrintStream out;

  /** Creates a scenario that sends the given number of requests. */
  public PlatformScenario(int requestCount, PrintStream out) {
    this.requestCount = requestCount;
    this.out = out;
  }

  /** Runs the scenario; returns whether every reply and the exit code were as expected. */
  public boolean run() throws IOException, InterruptedException {
    try (FakePlatform platform =
            new FakePlatform(FakeRespServer.backendHandler(), FakeRespServer.counterHandler());
        FakeRespServer replacementCounter = new FakeRespServer(FakeRespServer.counterHandler())) {
      PlatformProcess gateway = new PlatformProcess(platform.environment());
      int[] exitCode = {-1};
      Thread gatewayThread =
          new Thread(
              () -> {
                try {
                  exitCode[0] = gateway.run(DefaultGatewayPolicy::new);
                } catch (InterruptedException e) {
                  Thread.currentThread().interrupt();
                }
              },
              "platform");
      gatewayThread.start();
      if (!gateway.awaitReady(20, TimeUnit.SECONDS)) {
        out.println("not ready within 20 s");
        return false;
      }
      boolean passed = sendRequests(platform, replacementCounter, gateway);
      gateway.stop();
      gatewayThread.join(20_000);
      out.println("exit code after the stop: " + exitCode[0]);
      return passed && exitCode[0] == 0;
    }
  }

  private boolean sendRequests(
      FakePlatform platform, FakeRespServer replacementCounter, PlatformProcess gateway)
      throws IOException {
    RespClient[] clients = new RespClient[CONNECTIONS];
    for (int i = 0; i < CONNECTIONS; i++) {
      clients[i] = new RespClient(platform.port());
    }
    String[] requestTypes = {"look", "note", "pay"};
    int servedCount = 0;
    int refusedCount = 0;
    for (int i = 0; i < requestCount; i++) {
      if (i == requestCount / 2) {
        platform.writeConfiguration(platform.discovery.port(), replacementCounter.port());
        gateway.reload();
      }
      boolean isSmallPlan = i % 10 == 9; // The small plan gets more requests than its quota allows.
      String[] command =
          FakePlatform.requestCommand(
              requestTypes[i % 3],
              isSmallPlan ? "small" : "large",
              isSmallPlan ? 1 : 100 + i % 50,
              1_000 + i,
              "");
      String reply = clients[i % CONNECTIONS].call(command);
      servedCount += reply != null && reply.equals("value of " + command[2]) ? 1 : 0;
      refusedCount += reply != null && reply.startsWith("-BUSY ") && isSmallPlan ? 1 : 0;
    }
    String invalidRequestReply = clients[0].call("Q.ASK", "x", "y", "z");
    String malformedInputReply = clients[1].send("noise without end").readReply();
    for (RespClient client : clients) {
      client.close();
    }
    out.println(
        requestCount
            + " requests: "
            + servedCount
            + " served, "
            + refusedCount
            + " refused beyond their plan; bad input: "
            + invalidRequestReply
            + " / "
            + malformedInputReply);
    return servedCount + refusedCount == requestCount
        && refusedCount > 0
        && invalidRequestReply != null
        && invalidRequestReply.startsWith("-ERR");
  }
}
