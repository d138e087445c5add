import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/**
 * A client sends many commands at once. The gateway takes 64 of them, and 2 s later it closes the
 * connection without an answer to those whose workers need longer.
 */
public final class Case3 {
  private static final int COMMANDS = 70;

  /** Without the disruption no connection gets more commands at once than this. */
  private static final int FEW = 10;

  /** What a worker needs for a request. */
  private static final long WORK_MS = 150;

  /** What the one slow worker of eight needs, with and without the disruption; clients wait for 5 s. */
  private static final long SLOW_WORK_MS = 2_600;

  private static final long ANSWER_WITHIN_MS = 5_000 + 500 + 50;

  private static final class Request {
    final String id;
    final String customer;
    volatile String answer;
    volatile String end;

    Request(int number) {
      id = Kit.id(0x90000000L + number);
      customer = Kit.id(0x1000L + number);
    }
  }

  private static final Set<String> run = ConcurrentHashMap.newKeySet();

  private static void serveWorker(Kit.Record record, String name, Socket socket) throws Exception {
    Kit.RespReader in = new Kit.RespReader(socket.getInputStream());
    OutputStream out = socket.getOutputStream();
    for (byte[][] words = in.command(); words != null; words = in.command()) {
      if (words.length < 4) {
        out.write((Kit.text(words[0]).equalsIgnoreCase("PING") ? "+PONG\r\n" : "+OK\r\n").getBytes());
        continue;
      }
      String id = Kit.text(words[2]);
      run.add(id);
      record.line("%s runs %s", name, id);
      Thread.sleep(name.equals("s-1") ? SLOW_WORK_MS : WORK_MS);
      String value = "value for " + id;
      out.write(("*3\r\n$" + value.length() + "\r\n" + value + "\r\n$-1\r\n$-1\r\n").getBytes());
    }
  }

  /** Sends these requests at once on a connection of their own and reads their answers. */
  private static Thread client(Kit.Record record, String name, int port, List<Request> requests) {
    return Kit.daemon(
        name,
        () -> {
          try (Kit.Client connection = new Kit.Client(port)) {
            ByteArrayOutputStream commands = new ByteArrayOutputStream();
            for (Request request : requests) {
              commands.writeBytes(
                  Kit.encode(
                      "Q.DO", request.customer, request.id, "c=cobrar-sena,t=mayorista,d=5000,units=1,spread=1,first=0"));
            }
            connection.socket.setSoTimeout((int) ANSWER_WITHIN_MS);
            record.line("%s sends %d requests at once", name, requests.size());
            connection.send(commands.toByteArray());
            String end = null;
            for (Request request : requests) {
              if (end == null) {
                try {
                  request.answer = connection.in.reply().brief();
                  record.line("%s: request %s gets %s", name, request.id, request.answer);
                  continue;
                } catch (java.net.SocketTimeoutException e) {
                  end = "no answer in time";
                } catch (IOException e) {
                  end = "the gateway closed the connection";
                }
                record.line("%s: %s", name, end);
              }
              request.end = end;
            }
          }
        });
  }

  public static void main(String[] args) {
    Kit.main(args, Case3::play);
  }

  private static boolean play(Path root, Path temporary, Kit.Record record, boolean hasTrouble) throws Exception {
    Map<String, String> workers = new HashMap<>();
    List<Kit.Server> servers = new ArrayList<>();
    for (int i = 1; i <= 8; i++) {
      String name = "s-" + i;
      Kit.Server server = new Kit.Server(name, 256, socket -> serveWorker(record, name, socket));
      servers.add(server);
      workers.put(name, server.address());
    }
    List<Request> requests = new ArrayList<>();
    for (int i = 1; i <= COMMANDS; i++) {
      requests.add(new Request(i));
    }
    try (Kit.Server discovery = Kit.discovery(workers);
        Kit.Server counter = Kit.counter();
        Kit.Gateway gateway =
            new Kit.Gateway(root, temporary, Settings.colonia(), 192, 1_024, discovery.address(), counter.address())) {
      gateway.awaitReady();
      List<Thread> clients = new ArrayList<>();
      int size = hasTrouble ? COMMANDS : FEW;
      for (int i = 0; i < COMMANDS; i += size) {
        clients.add(client(record, "client " + (1 + i / size), gateway.port, requests.subList(i, i + size)));
      }
      for (Thread client : clients) {
        client.join(TimeUnit.SECONDS.toMillis(15));
      }
    }
    for (Kit.Server server : servers) {
      server.close();
    }
    return judge(record, requests);
  }

  /**
   * A request that a worker got has been read by the gateway. The others, which the close may have
   * crossed, are not held against it.
   */
  private static boolean judge(Kit.Record record, List<Request> requests) {
    int answered = 0;
    int lost = 0;
    for (Request request : requests) {
      if (request.answer != null) {
        answered++;
      } else if (run.contains(request.id)) {
        lost++;
        record.line("LOST: %s was sent on to a worker; its client: %s", request.id, request.end);
      }
    }
    record.say(
        "%d requests, %d sent on to workers; %d answered, %d sent on and never answered",
        requests.size(), run.size(), answered, lost);
    return lost == 0;
  }
}
