import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * A repeat of a keyed request reaches a worker after the window in which workers drop repeats,
 * because the connection for it came up late.
 */
public final class Case3 {
  private static final long WINDOW_MS = 1_200;

  /** "Every time limit is 50 ms longer" on sockets. */
  private static final long SLACK_MS = 50;

  /** When the first attempt fails: within the time in which the gateway retries. */
  private static final long ERROR_AFTER_MS = 330;

  /** How long the other worker takes no connection, from that failure; the page allows 1 s, up to 1.5 s. */
  private static final long LATE_MS = 700;

  /** Other requests that are in work meanwhile, each on a connection that came up at once. */
  private static final int OTHERS = 5;

  private static final long OTHER_WORK_MS = 700;

  /** One attempt as a worker saw it; its time is that of its last byte. */
  private record Arrival(String worker, String id, String key, long nanos, boolean hasRun) {}

  private static final List<Arrival> arrivals = new ArrayList<>();

  /** When each key was first seen; all workers share it ("group": all), as the settings tell. */
  private static final Map<String, Long> seenKeys = new HashMap<>();

  private static final class Worker {
    final String name;
    final Kit.Record record;
    final Kit.Server server;
    final List<Socket> waiting = new ArrayList<>();
    Worker other;
    private boolean acceptsLate;
    private boolean isHolding;

    Worker(String name, Kit.Record record) throws IOException {
      this.name = name;
      this.record = record;
      server =
          new Kit.Server(name, 1, this::serve) {
            @Override
            void beforeAccept() throws Exception {
              synchronized (Worker.this) {
                isHolding = acceptsLate;
                Worker.this.notifyAll();
                while (acceptsLate) {
                  Worker.this.wait();
                }
              }
            }
          };
    }

    /**
     * From now on new connections come up late: none is taken, and the queue of those not taken yet
     * is full, so that the system leaves further ones unanswered and they have to be tried again.
     */
    void beginLate() throws Exception {
      synchronized (this) {
        acceptsLate = true;
      }
      connectWaiting(); // Taken by the thread that waits in accept; then it takes no more.
      synchronized (this) {
        while (!isHolding) {
          wait();
        }
      }
      int queued = 0;
      while (queued < 16 && connectWaiting()) {
        queued++;
      }
      record.line("%s takes no connection for now, %d wait in its queue", name, queued);
    }

    private boolean connectWaiting() {
      Socket socket = new Socket();
      try {
        socket.connect(new InetSocketAddress(Kit.LOOPBACK, server.serverSocket.getLocalPort()), 150);
        waiting.add(socket);
        return true;
      } catch (IOException e) {
        return false; // The queue is full.
      }
    }

    void endLate() throws IOException {
      synchronized (this) {
        acceptsLate = false;
        notifyAll();
      }
      for (Socket socket : waiting) {
        socket.close();
      }
      record.line("%s takes connections again", name);
    }

    private void serve(Socket socket) throws Exception {
      Kit.RespReader in = new Kit.RespReader(socket.getInputStream());
      OutputStream out = socket.getOutputStream();
      for (byte[][] words = in.command(); words != null; words = in.command()) {
        if (words.length < 4) {
          out.write((Kit.text(words[0]).equalsIgnoreCase("PING") ? "+PONG\r\n" : "+OK\r\n").getBytes());
          continue;
        }
        answer(words, System.nanoTime(), out);
      }
    }

    private void answer(byte[][] words, long nowNanos, OutputStream out) throws Exception {
      String id = Kit.text(words[2]);
      String list = Kit.text(words[3]);
      if (list.startsWith("c=ver-reserva")) {
        record.line("%s runs %s, another request", name, id);
        Thread.sleep(OTHER_WORK_MS);
        serve(id, out);
        return;
      }
      String key = list.replaceAll(".*,k=([^,]*).*", "$1");
      boolean isFirst;
      boolean isDropped;
      synchronized (arrivals) {
        Long seenNanos = seenKeys.get(key);
        isFirst = seenNanos == null;
        isDropped = !isFirst && nowNanos - seenNanos <= TimeUnit.MILLISECONDS.toNanos(WINDOW_MS + SLACK_MS);
        seenKeys.putIfAbsent(key, nowNanos);
        arrivals.add(new Arrival(name, id, key, nowNanos, !isDropped));
      }
      record.line("%s got %s %s: %s", name, id, list, isDropped ? "a repeat, dropped" : "RUNS it");
      if (isFirst && troubleFor(id)) {
        if (hasTrouble) {
          other.beginLate();
        }
        sleepUntil(nowNanos, ERROR_AFTER_MS);
        record.line("%s answers %s with -ERR failed", name, id);
        out.write("-ERR failed\r\n".getBytes());
        if (hasTrouble) {
          sleepUntil(nowNanos, ERROR_AFTER_MS + LATE_MS);
          other.endLate();
        }
        return;
      }
      serve(id, out);
    }

    private static void serve(String id, OutputStream out) throws IOException {
      String value = "done " + id;
      out.write(("*3\r\n$" + value.length() + "\r\n" + value + "\r\n$-1\r\n$-1\r\n").getBytes());
    }
  }

  private static boolean hasTrouble;

  /** The first attempt of each of these requests runs and fails, with or without the disruption. */
  private static boolean troubleFor(String id) {
    return id.startsWith("00000000a");
  }

  private static void sleepUntil(long originNanos, long millis) throws InterruptedException {
    long leftNanos = originNanos + TimeUnit.MILLISECONDS.toNanos(millis) - System.nanoTime();
    TimeUnit.NANOSECONDS.sleep(Math.max(0, leftNanos));
  }

  public static void main(String[] args) {
    Kit.main(args, Case3::play);
  }

  private static boolean play(Path root, Path temporary, Kit.Record record, boolean trouble) throws Exception {
    hasTrouble = trouble;
    Worker first = new Worker("w1", record);
    Worker second = new Worker("w2", record);
    first.other = second;
    second.other = first;
    // The site's class cobrar-sena with another effect, keyed, and the site's window for repeats.
    String settings =
        Settings.settings(
            1_500,
            Settings.LOOKUP,
            Settings.clazz("cobrar-sena", 1_500, 5_000, "deduplicated", (int) WINDOW_MS, 5));
    try (Kit.Server discovery =
            Kit.discovery(Map.of("s-1", first.server.address(), "s-2", second.server.address()));
        Kit.Server counter = Kit.counter();
        Kit.Gateway gateway =
            new Kit.Gateway(root, temporary, settings, 192, 1_024, discovery.address(), counter.address())) {
      gateway.awaitReady();
      for (int i = 1; i <= OTHERS; i++) {
        byte[] other =
            Kit.encode("Q.ASK", Kit.id(0x100 + i), Kit.id(0xb0000000L + i), "c=ver-reserva,t=mayorista,d=3000,units=1,spread=1,first=0");
        Kit.daemon("other client", () -> askOnce(gateway.port, other, record));
      }
      Thread.sleep(100);
      try (Kit.Client client = new Kit.Client(gateway.port)) {
        client.socket.setSoTimeout(8_000);
        String id = "00000000a0000001";
        byte[] command =
            Kit.encode(
                "Q.DO", Kit.id(0x55), id, "c=cobrar-sena,t=mayorista,d=5000,k=5c0f6e1a2b3d4c59,units=1,spread=1,first=0", "sena");
        record.line("the client sends %s once", id);
        client.send(command);
        record.line("the client gets %s", client.in.reply().brief());
      }
      Thread.sleep(300);
    }
    first.server.close();
    second.server.close();
    return judge(record);
  }

  private static void askOnce(int port, byte[] command, Kit.Record record) throws IOException {
    try (Kit.Client client = new Kit.Client(port)) {
      client.send(command);
      record.line("another client gets %s", client.in.reply().brief());
    }
  }

  private static boolean judge(Kit.Record record) {
    if (arrivals.isEmpty()) {
      throw new Kit.CannotRunException("no attempt reached a worker");
    }
    boolean held = true;
    for (Arrival repeat : arrivals.subList(1, arrivals.size())) {
      double afterMs = (repeat.nanos() - arrivals.get(0).nanos()) / 1e6;
      held &= afterMs <= WINDOW_MS + SLACK_MS;
      record.say(
          "a repeat came %.0f ms after the attempt that had run; allowed are %d + %d ms", afterMs, WINDOW_MS, SLACK_MS);
    }
    record.say(
        "%d attempts, the request ran %d times", arrivals.size(), arrivals.stream().filter(Arrival::hasRun).count());
    return held;
  }
}
