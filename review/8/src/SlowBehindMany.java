import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** 70 requests at once on one connection, while one of eight workers is ten times slower. */
public final class SlowBehindMany {
  private static final int WORKERS = 8;
  private static final long WORK_MILLIS = 220;
  private static final long SLOW_WORK_MILLIS = 2_200;
  private static final int COMMANDS = 70;
  private static final int CONNECTIONS_WITHOUT_TROUBLE = 7;
  private static final int DEADLINE_MILLIS = 5_000;

  /** Up to half a second after its time, an answer only earns nothing. */
  private static final int GRACE_MILLIS = 500;

  public static void main(String[] arguments) throws Exception {
    int exitCode;
    try (Deployment deployment = new Deployment(WORKERS, WORK_MILLIS, 192, 1_024)) {
      deployment.workers.get(0).setWorkMillis(SLOW_WORK_MILLIS);
      exitCode = run(deployment);
    }
    System.exit(exitCode);
  }

  private static int run(Deployment deployment) throws Exception {
    Record record = deployment.record;
    if (!deployment.gatekeeper.awaitReady()) {
      record.say("the gatekeeper did not get ready");
      return 2;
    }
    int connections = Deployment.hasTrouble() ? 1 : CONNECTIONS_WITHOUT_TROUBLE;
    AtomicInteger lost = new AtomicInteger();
    AtomicInteger answered = new AtomicInteger();
    List<Thread> clients = new ArrayList<>();
    for (int i = 0; i < connections; i++) {
      clients.add(
          Threads.start(
              "client-" + i, () -> send(deployment, COMMANDS / connections, answered, lost)));
    }
    for (Thread client : clients) {
      client.join();
    }
    record.say(
        "%d requests answered, %d that workers have run got no answer",
        answered.get(), lost.get());
    if (answered.get() + lost.get() == 0) {
      return 2;
    }
    record.say(lost.get() == 0 ? "kept" : "BROKEN: requests are lost after they have run");
    return lost.get() == 0 ? 0 : 1;
  }

  /** Sends requests in one write on a connection that has been used, and reads their answers. */
  private static void send(
      Deployment deployment, int count, AtomicInteger answered, AtomicInteger lost) {
    Record record = deployment.record;
    List<String> ids = new ArrayList<>();
    int read = 0;
    try (Socket socket = deployment.gatekeeper.connect()) {
      Resp.Reader reader = new Resp.Reader(socket.getInputStream());
      socket.setSoTimeout(DEADLINE_MILLIS + GRACE_MILLIS);
      socket.getOutputStream().write(Resp.command("PING"));
      reader.reply();
      ByteArrayOutputStream bytes = new ByteArrayOutputStream();
      for (int i = 0; i < count; i++) {
        String id = UsualClients.nextId();
        ids.add(id);
        bytes.write(
            Resp.command(
                "Q.DO",
                String.format("%016x", 0x200 + i % 10),
                id,
                "c=order,t=team,d=" + DEADLINE_MILLIS + ",units=1,spread=1,first=0",
                "body"));
        record.line("sent %s", id);
      }
      socket.getOutputStream().write(bytes.toByteArray());
      for (; read < count; read++) {
        record.line("answer %s %s", ids.get(read), reader.reply());
        answered.incrementAndGet();
      }
    } catch (IOException e) {
      String end = e.getMessage() == null ? "closed by the gatekeeper" : e.getMessage();
      for (String id : ids.subList(read, ids.size())) {
        int runs = deployment.runs(id);
        record.line("no answer %s, runs=%d: %s", id, runs, end);
        if (runs > 0) {
          lost.incrementAndGet();
        }
      }
    }
  }
}
