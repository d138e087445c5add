import java.io.EOFException;
import java.io.IOException;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/** Usual clients: each has a connection of its own and sends one request after the other. */
final class UsualClients {
  private static final AtomicLong NEXT_ID = new AtomicLong(0x5000_0000_0000_0001L);

  private final Gatekeeper gatekeeper;
  private final Record record;
  private final long deadlineMillis;
  private final long pauseMillis;
  private final AtomicBoolean isStopped = new AtomicBoolean();
  private final Thread[] threads;

  final AtomicInteger sent = new AtomicInteger();
  final AtomicInteger served = new AtomicInteger();
  final AtomicInteger refused = new AtomicInteger();
  final AtomicInteger failed = new AtomicInteger();

  /** Requests whose last byte was written and that got no whole answer, 0.5 s after their time. */
  final AtomicInteger lost = new AtomicInteger();

  UsualClients(
      Gatekeeper gatekeeper, Record record, int count, long deadlineMillis, long pauseMillis) {
    this.gatekeeper = gatekeeper;
    this.record = record;
    this.deadlineMillis = deadlineMillis;
    this.pauseMillis = pauseMillis;
    threads = new Thread[count];
    for (int i = 0; i < count; i++) {
      int number = i;
      threads[i] = Threads.start("client-" + i, () -> run(number));
    }
  }

  static String nextId() {
    return String.format("%016x", NEXT_ID.getAndIncrement());
  }

  private void run(int number) {
    Socket socket = null;
    Resp.Reader reader = null;
    while (!isStopped.get()) {
      String id = nextId();
      boolean isWritten = false;
      try {
        if (socket == null) {
          socket = gatekeeper.connect();
          reader = new Resp.Reader(socket.getInputStream());
        }
        socket.setSoTimeout((int) deadlineMillis + 500);
        socket
            .getOutputStream()
            .write(
                Resp.command(
                    "Q.ASK",
                    String.format("%016x", 0x100 + number),
                    id,
                    "c=lookup,t=team,d=" + deadlineMillis + ",units=1,spread=1,first=0"));
        isWritten = true;
        sent.incrementAndGet();
        record.line("sent %s by client %d", id, number);
        String reply = reader.reply();
        record.line("answer %s %s", id, reply);
        if (reply.equals("$" + Worker.value(id))) {
          served.incrementAndGet();
        } else if (reply.startsWith("-BUSY")) {
          refused.incrementAndGet();
        } else {
          failed.incrementAndGet();
        }
      } catch (IOException e) {
        String end =
            e instanceof SocketTimeoutException
                ? "no answer"
                : e instanceof EOFException ? "closed" : e.getMessage();
        record.line("%s %s: %s", isWritten ? "lost" : "not sent", id, end);
        if (isWritten) {
          lost.incrementAndGet();
        }
        close(socket);
        socket = null;
        Threads.sleep(100);
      }
      Threads.sleep(pauseMillis);
    }
    close(socket);
  }

  private static void close(Socket socket) {
    try {
      if (socket != null) {
        socket.close();
      }
    } catch (IOException e) {
      // It is closed.
    }
  }

  void stop() {
    isStopped.set(true);
    for (Thread thread : threads) {
      try {
        thread.join(deadlineMillis + 1_000);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
  }

  String summary() {
    return String.format(
        "usual clients: %d sent, %d served, %d refused, %d failed, %d without an answer",
        sent.get(), served.get(), refused.get(), failed.get(), lost.get());
  }
}
