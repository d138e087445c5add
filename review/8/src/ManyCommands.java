import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;

/** A usual client that sends many requests at once on one connection and reads all answers. */
public final class ManyCommands {
  private static final int COMMANDS = 80;
  private static final int DEADLINE_MILLIS = 2_500;

  /** Up to half a second after its time, an answer only earns nothing. */
  private static final int GRACE_MILLIS = 500;

  public static void main(String[] arguments) throws Exception {
    int exitCode;
    try (Deployment deployment = new Deployment(4, 40, 192, 1_024)) {
      exitCode = run(deployment);
    }
    System.exit(exitCode);
  }

  private static int run(Deployment deployment) throws IOException {
    Record record = deployment.record;
    if (!deployment.gatekeeper.awaitReady()) {
      record.say("the gatekeeper did not get ready");
      return 2;
    }
    // A connection that has been used before, so that the request is not the first one on it.
    try (Socket socket = deployment.gatekeeper.connect()) {
      Resp.Reader reader = new Resp.Reader(socket.getInputStream());
      socket.setSoTimeout(DEADLINE_MILLIS + GRACE_MILLIS);
      for (int i = 0; i < 5; i++) {
        if (send(deployment, socket, reader, 1) > 0) {
          record.say("no answer before the disruption");
          return 2;
        }
      }
      int unanswered = 0;
      if (Deployment.hasTrouble()) {
        unanswered = send(deployment, socket, reader, COMMANDS);
      } else {
        for (int i = 0; i < COMMANDS / 8; i++) {
          unanswered += send(deployment, socket, reader, 8);
        }
      }
      record.say("%d of %d requests without an answer", unanswered, COMMANDS);
      record.say(unanswered == 0 ? "kept" : "BROKEN: requests are lost");
      return unanswered == 0 ? 0 : 1;
    }
  }

  /** Sends requests in one write and reads their answers; returns how many have none. */
  private static int send(Deployment deployment, Socket socket, Resp.Reader reader, int count)
      throws IOException {
    Record record = deployment.record;
    List<String> ids = new ArrayList<>();
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
    for (int i = 0; i < count; i++) {
      try {
        record.line("answer %s %s", ids.get(i), reader.reply());
      } catch (IOException e) {
        String end = e.getMessage() == null ? "closed by the gatekeeper" : e.getMessage();
        for (String id : ids.subList(i, count)) {
          record.line("no answer %s, runs=%d: %s", id, deployment.runs(id), end);
        }
        return count - i;
      }
    }
    return 0;
  }
}
