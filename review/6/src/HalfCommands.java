import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;

/** Bad clients that stop in the middle of a request and stay, beside usual clients. */
public final class HalfCommands {
  private static final int MEMORY_MB = 96;
  private static final int SOCKETS = 1_024;
  private static final int USUAL_CLIENTS = 6;

  /** With the usual clients a quarter of the descriptors. */
  private static final int BAD_CLIENTS = 250;

  /** Less than the 64 KiB that a value may have. */
  private static final int WORD_BYTES = 65_000;

  public static void main(String[] arguments) throws Exception {
    int exitCode;
    try (Deployment deployment = new Deployment(2, 40, MEMORY_MB, SOCKETS)) {
      exitCode = run(deployment);
    }
    System.exit(exitCode);
  }

  private static int run(Deployment deployment) {
    Record record = deployment.record;
    Gatekeeper gatekeeper = deployment.gatekeeper;
    if (!gatekeeper.awaitReady()) {
      record.say("the gatekeeper did not get ready");
      return 2;
    }
    UsualClients usual = new UsualClients(gatekeeper, record, USUAL_CLIENTS, 2_000, 100);
    Threads.sleep(2_000);
    if (usual.served.get() == 0 || usual.lost.get() > 0) {
      record.say("not served before the disruption: %s", usual.summary());
      return 2;
    }
    List<Socket> badClients = new ArrayList<>();
    if (Deployment.hasTrouble()) {
      connectBadClients(gatekeeper, record, badClients);
    }
    for (int i = 0; i < 60 && gatekeeper.process.isAlive(); i++) {
      Threads.sleep(100);
    }
    boolean isAlive = gatekeeper.process.isAlive();
    usual.stop();
    record.say(usual.summary());
    if (!isAlive) {
      record.say("BROKEN: the gatekeeper has crashed, exit code %d", gatekeeper.process.exitValue());
    }
    boolean isKept = isAlive && usual.lost.get() == 0;
    record.say(isKept ? "kept" : "broken");
    return isKept ? 0 : 1;
  }

  /** Opens the bad clients' connections; each stays open until the gatekeeper ends it. */
  private static void connectBadClients(
      Gatekeeper gatekeeper, Record record, List<Socket> badClients) {
    byte[] half = halfCommand();
    AtomicInteger written = new AtomicInteger();
    CountDownLatch done = new CountDownLatch(BAD_CLIENTS);
    for (int i = 0; i < BAD_CLIENTS; i++) {
      Threads.start(
          "bad-client",
          () -> {
            try {
              Socket socket = gatekeeper.connect();
              synchronized (badClients) {
                badClients.add(socket);
              }
              socket.getOutputStream().write(half);
              written.incrementAndGet();
            } catch (IOException e) {
              record.line("bad client: %s", e.getMessage());
            }
            done.countDown();
          });
    }
    try {
      done.await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    record.say("%d bad clients have sent the first part of a command", written.get());
  }

  /** Returns the first three words of a command, with a long id, and a byte of the fourth. */
  private static byte[] halfCommand() {
    String text =
        "*5\r\n$4\r\nQ.DO\r\n$16\r\n0000000000000001\r\n$" + WORD_BYTES + "\r\n"
            + "b".repeat(WORD_BYTES) + "\r\n$";
    return text.getBytes(StandardCharsets.ISO_8859_1);
  }
}
