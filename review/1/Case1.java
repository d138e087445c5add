import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Clients send many commands at once, and the answers are long. Answers of one connection get lost
 * inside the gateway, which keeps the connection and goes on with later answers in their place.
 */
public final class Case1 {
  private static final int ROUNDS = 8;
  private static final int CLIENTS = 6;

  /** Commands that a client sends at once; the gateway takes 64 on a connection. */
  private static final int BURST = 60;

  /** Commands that follow on the same connection, one at a time. */
  private static final int LATER = 8;

  /** "A value holds 64 KiB at most." */
  private static final int VALUE_BYTES = 64 << 10;

  /** The class's time, half a second in which a late answer only earns nothing, and 50 ms of slack. */
  private static final long ANSWER_WITHIN_MS = 5_000 + 500 + 50;

  /** What the first request of each client takes; the class's aim is 1,500 ms. */
  private static final long LONG_WORK_MS = 900;

  private static final long SHORT_WORK_MS = 20;

  private static final AtomicInteger runs = new AtomicInteger();
  private static final AtomicInteger nextNumber = new AtomicInteger(1);
  private static volatile long longWorkEndsNanos;

  /** A request as its client sees it. */
  private static final class Request {
    final int number = nextNumber.getAndIncrement();
    final String id = Kit.id(0x90000000L + number);
    final String customer = Kit.id(0x1000L + number);
    volatile long sentNanos;
    volatile String answer;
    volatile boolean isForeign;

    byte[] command(String body) {
      return Kit.encode(
          "Q.DO", customer, id, "c=cobrar-sena,t=mayorista,d=5000,units=1,spread=1,first=0", body);
    }

    /** The value that a worker makes for this request begins with this. */
    static String valueStart(String id) {
      return "value for " + id + ";";
    }

    void take(Kit.Reply reply) {
      isForeign = reply.isServed() && !reply.text().startsWith(valueStart(id));
      answer = reply.brief();
    }
  }

  /** One connection with its requests in the order in which they were sent. */
  private static final class Front {
    final Kit.Record record;
    final String name;
    final Kit.Client connection;
    final List<Request> requests = new ArrayList<>();
    volatile boolean isEnded;
    private int answered;

    Front(Kit.Record record, String name, int port) throws IOException {
      this.record = record;
      this.name = name;
      connection = new Kit.Client(port);
    }

    synchronized Request add() {
      Request request = new Request();
      requests.add(request);
      return request;
    }

    /** Reads answers and gives each to the first request that has none: they come in order. */
    void readAnswers() throws IOException {
      try {
        readAll();
      } finally {
        isEnded = true;
      }
    }

    private void readAll() throws IOException {
      while (true) {
        Kit.Reply reply = connection.in.reply();
        synchronized (this) {
          Request request = requests.get(answered++);
          request.take(reply);
          record.line("%s: request %s gets %s%s", name, request.id, request.answer, request.isForeign ? "  FOREIGN" : "");
          notifyAll();
        }
      }
    }

    synchronized void awaitAnswer(Request request, long millis) throws InterruptedException {
      long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
      while (request.answer == null && System.nanoTime() < endNanos) {
        wait(10);
      }
    }

    void play(boolean isAtOnce) throws Exception {
      ByteArrayOutputStream burst = new ByteArrayOutputStream();
      for (int i = 0; i < BURST; i++) {
        Request request = add();
        request.sentNanos = System.nanoTime();
        byte[] command = request.command(i == 0 ? "long work" : "long value");
        if (isAtOnce) {
          burst.writeBytes(command);
        } else {
          record.line("%s: sends %s", name, request.id);
          connection.send(command);
          awaitAnswer(request, ANSWER_WITHIN_MS);
        }
      }
      if (isAtOnce) {
        record.line("%s: sends %d requests at once, from %s on", name, BURST, requests.get(0).id);
        connection.send(burst.toByteArray());
        Thread.sleep(1_500);
      }
      for (int i = 0; i < LATER; i++) {
        Request request = add();
        request.sentNanos = System.nanoTime();
        record.line("%s: sends %s", name, request.id);
        connection.send(request.command("short value"));
        Thread.sleep(100);
      }
    }
  }

  private static void serveWorker(Kit.Record record, String name, Socket socket) throws Exception {
    Kit.RespReader in = new Kit.RespReader(socket.getInputStream());
    OutputStream out = socket.getOutputStream();
    for (byte[][] words = in.command(); words != null; words = in.command()) {
      if (words.length < 5) {
        out.write((Kit.text(words[0]).equalsIgnoreCase("PING") ? "+PONG\r\n" : "+OK\r\n").getBytes());
        continue;
      }
      String id = Kit.text(words[2]);
      String body = Kit.text(words[4]);
      runs.incrementAndGet();
      record.line("%s runs %s", name, id);
      if (body.equals("long work")) {
        awaitLongWork();
      } else {
        Thread.sleep(SHORT_WORK_MS);
      }
      StringBuilder value = new StringBuilder(Request.valueStart(id));
      if (body.equals("long value")) {
        value.append("x".repeat(VALUE_BYTES - value.length()));
      }
      String reply = "*3\r\n$" + value.length() + "\r\n" + value + "\r\n$-1\r\n$-1\r\n";
      out.write(reply.getBytes(StandardCharsets.ISO_8859_1));
    }
  }

  /** The long pieces of work of one round wait for the same thing and end together. */
  private static void awaitLongWork() throws InterruptedException {
    long nowNanos = System.nanoTime();
    synchronized (Case1.class) {
      if (longWorkEndsNanos < nowNanos) {
        longWorkEndsNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(LONG_WORK_MS);
      }
    }
    TimeUnit.NANOSECONDS.sleep(longWorkEndsNanos - nowNanos);
  }

  public static void main(String[] args) {
    Kit.main(args, Case1::play);
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
    boolean held = true;
    try (Kit.Server discovery = Kit.discovery(workers);
        Kit.Server counter = Kit.counter();
        Kit.Gateway gateway =
            new Kit.Gateway(root, temporary, Settings.colonia(), 192, 1_024, discovery.address(), counter.address())) {
      gateway.awaitReady();
      for (int round = 1; round <= ROUNDS && held; round++) {
        held = playRound(record, round, gateway, hasTrouble);
      }
    }
    for (Kit.Server server : servers) {
      server.close();
    }
    return held;
  }

  private static boolean playRound(Kit.Record record, int round, Kit.Gateway gateway, boolean isAtOnce)
      throws Exception {
    List<Front> fronts = new ArrayList<>();
    List<Thread> threads = new ArrayList<>();
    int runsBefore = runs.get();
    for (int i = 1; i <= CLIENTS; i++) {
      Front front = new Front(record, "client " + round + "." + i, gateway.port);
      fronts.add(front);
      Kit.daemon(front.name, front::readAnswers);
    }
    for (Front front : fronts) {
      threads.add(Kit.daemon(front.name, () -> front.play(isAtOnce)));
    }
    for (Thread thread : threads) {
      thread.join(60_000);
    }
    int lost = 0;
    int foreign = 0;
    int all = 0;
    for (Front front : fronts) {
      for (Request request : front.requests) {
        long leftMs = ANSWER_WITHIN_MS - TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - request.sentNanos);
        front.awaitAnswer(request, Math.max(0, leftMs));
        all++;
        if (request.answer == null) {
          lost++;
          record.line("%s: request %s has no answer after %d ms", front.name, request.id, ANSWER_WITHIN_MS);
        } else if (request.isForeign) {
          foreign++;
        }
      }
      record.line("%s: its connection is %s", front.name, front.isEnded ? "closed by the gateway" : "open");
      front.connection.close();
    }
    record.say(
        "round %d: %d requests, %d run by workers; %d got the value of another request, %d got no answer",
        round, all, runs.get() - runsBefore, foreign, lost);
    return lost == 0 && foreign == 0;
  }
}
