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
 * One gateway of the platform's way in among fakes in one process: requests of every class,
 * refusals, bad input, a new configuration, a stop. Prints what became of them. The build has the
 * classes that it loads archived, so it goes through all that a day does.
 */
public final class PlatformScenario {
  private static final int CONNECTIONS = 4;
  private final int requests;
  private final PrintStream out;

  /** A drill of so many requests. */
  public PlatformScenario(int requests, PrintStream out) {
    this.requests = requests;
    this.out = out;
  }

  /** Plays it; whether each request was answered as it should be. */
  public boolean run() throws IOException, InterruptedException {
    try (FakePlatform world =
            new FakePlatform(FakeRespServer.backendHandler(), FakeRespServer.counterHandler());
        FakeRespServer otherCounter = new FakeRespServer(FakeRespServer.counterHandler())) {
      PlatformProcess daemon = new PlatformProcess(world.environment());
      int[] code = {-1};
      Thread running =
          new Thread(
              () -> {
                try {
                  code[0] = daemon.run(DefaultGatewayPolicy::new);
                } catch (InterruptedException e) {
                  Thread.currentThread().interrupt();
                }
              },
              "platform");
      running.start();
      if (!daemon.awaitReady(20, TimeUnit.SECONDS)) {
        out.println("not ready within 20 s");
        return false;
      }
      boolean well = requests(world, otherCounter, daemon);
      daemon.stop();
      running.join(20_000);
      out.println("exit code after the stop: " + code[0]);
      return well && code[0] == 0;
    }
  }

  private boolean requests(FakePlatform world, FakeRespServer otherCounter, PlatformProcess daemon)
      throws IOException {
    RespClient[] clients = new RespClient[CONNECTIONS];
    for (int i = 0; i < CONNECTIONS; i++) {
      clients[i] = new RespClient(world.port());
    }
    String[] types = {"look", "note", "pay"};
    int served = 0;
    int refused = 0;
    for (int i = 0; i < requests; i++) {
      if (i == requests / 2) {
        world.writeConfiguration(world.discovery.port(), otherCounter.port());
        daemon.reload();
      }
      boolean small = i % 10 == 9; // Customers of the small plan ask more than it holds.
      String[] words =
          FakePlatform.requestCommand(
              types[i % 3], small ? "small" : "large", small ? 1 : 100 + i % 50, 1_000 + i, "");
      String answer = clients[i % CONNECTIONS].call(words);
      served += answer != null && answer.equals("value of " + words[2]) ? 1 : 0;
      refused += answer != null && answer.startsWith("-BUSY ") && small ? 1 : 0;
    }
    String unfit = clients[0].call("Q.ASK", "x", "y", "z");
    String noise = clients[1].send("noise without end").readReply();
    for (RespClient client : clients) {
      client.close();
    }
    out.println(
        requests
            + " requests: "
            + served
            + " served, "
            + refused
            + " refused beyond their plan; bad input: "
            + unfit
            + " / "
            + noise);
    return served + refused == requests && refused > 0 && unfit != null && unfit.startsWith("-ERR");
  }
}
