package fawndock.benchmark;

import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import org.HdrHistogram.Histogram;

/**
 * Adds to a counter over several connections, in a closed loop for the most it takes, or open at a
 * rate.
 */
final class CounterLoad {
  /** What came of a run. */
  record LoadResult(long acknowledged, long rejected, double seconds, Histogram latencyMicros) {
    double perSecond() {
      return acknowledged / seconds;
    }
  }

  private static final int TIMEOUT_MILLIS = 20_000;
  private final int port;
  private final int connections;
  private final int nameCount;

  CounterLoad(int port, int connections, int names) {
    this.port = port;
    this.connections = connections;
    this.nameCount = names;
  }

  /** Many calls out on each connection at any time, for so long. */
  LoadResult runClosedLoop(int outstanding, double seconds, long seed) throws Exception {
    AtomicLong acknowledged = new AtomicLong();
    AtomicLong refused = new AtomicLong();
    long begun = System.nanoTime();
    long end = begun + (long) (seconds * 1e9);
    onEachConnection(
        i -> {
          SplittableRandom random = new SplittableRandom(seed + i);
          try (ReplyReader line = new ReplyReader(port)) {
            byte[][] batches = new byte[16][];
            for (int b = 0; b < batches.length; b++) {
              batches[b] = batch(random, outstanding / 2);
            }
            line.socket.getOutputStream().write(batches[0]);
            for (int b = 1; System.nanoTime() < end; b++) {
              line.socket.getOutputStream().write(batches[b % batches.length]);
              readReplies(line, outstanding / 2, acknowledged, refused);
            }
            readReplies(line, outstanding / 2, acknowledged, refused);
          }
        });
    return new LoadResult(
        acknowledged.get(), refused.get(), (System.nanoTime() - begun) / 1e9, null);
  }

  private static void readReplies(
      ReplyReader line, int many, AtomicLong acknowledged, AtomicLong refused) throws IOException {
    int good = 0;
    for (int i = 0; i < many; i++) {
      good += line.readReply() ? 1 : 0;
    }
    acknowledged.addAndGet(good);
    refused.addAndGet(many - good);
  }

  private byte[] batch(SplittableRandom random, int many) {
    StringBuilder text = new StringBuilder();
    for (int i = 0; i < many; i++) {
      text.append(addCommand("quota-" + random.nextInt(nameCount)));
    }
    return text.toString().getBytes(StandardCharsets.US_ASCII);
  }

  static String addCommand(String name) {
    return "*4\r\n$6\r\nFD.ADD\r\n$"
        + name.length()
        + "\r\n"
        + name
        + "\r\n$1\r\n1\r\n$7\r\n3600000\r\n";
  }

  /** As {@link #runClosedLoop}, with the growing sums of a gateway on each connection. */
  LoadResult runClosedLoopSums(int outstanding, double seconds, long seed) throws Exception {
    AtomicLong acknowledged = new AtomicLong();
    AtomicLong refused = new AtomicLong();
    long begun = System.nanoTime();
    long end = begun + (long) (seconds * 1e9);
    onEachConnection(
        i -> {
          SplittableRandom random = new SplittableRandom(seed + i);
          long grown = 0;
          try (ReplyReader line = new ReplyReader(port)) {
            while (System.nanoTime() < end) {
              StringBuilder text = new StringBuilder();
              for (int n = 0; n < outstanding; n++) {
                text.append(
                    sumCommand("quota-" + random.nextInt(nameCount), seed * 1_000 + i, ++grown));
              }
              line.socket
                  .getOutputStream()
                  .write(text.toString().getBytes(StandardCharsets.US_ASCII));
              readReplies(line, outstanding, acknowledged, refused);
            }
          }
        });
    return new LoadResult(
        acknowledged.get(), refused.get(), (System.nanoTime() - begun) / 1e9, null);
  }

  static String sumCommand(String name, long origin, long plus) {
    StringBuilder text = new StringBuilder("*6\r\n");
    for (String word :
        new String[] {"FD.SUM", name, Long.toString(origin), Long.toString(plus), "0", "3600000"}) {
      text.append('$').append(word.length()).append("\r\n").append(word).append("\r\n");
    }
    return text.toString();
  }

  /**
   * One call at a time, evenly spread at a rate over the connections, whether answers come or not.
   */
  LoadResult runAtRate(double perSecond, double seconds, long seed) throws Exception {
    Histogram micros = new Histogram(60_000_000L, 3);
    AtomicLong acknowledged = new AtomicLong();
    AtomicLong refused = new AtomicLong();
    long begun = System.nanoTime();
    onEachConnection(
        i -> {
          SplittableRandom random = new SplittableRandom(seed + i);
          ArrayBlockingQueue<Long> due = new ArrayBlockingQueue<>(1 << 16);
          try (ReplyReader line = new ReplyReader(port)) {
            Thread reader =
                new Thread(
                    () -> {
                      try {
                        for (long at = due.take(); at >= 0; at = due.take()) {
                          boolean good = line.readReply();
                          long took = (System.nanoTime() - at) / 1_000;
                          (good ? acknowledged : refused).incrementAndGet();
                          synchronized (micros) {
                            micros.recordValue(Math.min(took, micros.getHighestTrackableValue()));
                          }
                        }
                      } catch (IOException | InterruptedException e) {
                        due.clear();
                      }
                    });
            reader.start();
            double gap = 1e9 * connections / perSecond;
            long all = (long) (seconds * 1e9 / gap);
            for (long n = 0; n < all; n++) {
              long at = begun + (long) ((n + (double) i / connections) * gap);
              while (System.nanoTime() < at) {
                LockSupport.parkNanos(Math.max(1, at - System.nanoTime()));
              }
              due.put(at);
              line.socket
                  .getOutputStream()
                  .write(
                      addCommand("quota-" + random.nextInt(nameCount))
                          .getBytes(StandardCharsets.US_ASCII));
            }
            due.put(-1L);
            reader.join(TIMEOUT_MILLIS);
          }
        });
    return new LoadResult(
        acknowledged.get(), refused.get(), (System.nanoTime() - begun) / 1e9, micros);
  }

  /** Adds once to each of so many names. */
  long fill(long many, String prefix, boolean sums) throws Exception {
    AtomicLong acknowledged = new AtomicLong();
    int batch = 500;
    onEachConnection(
        i -> {
          try (ReplyReader line = new ReplyReader(port)) {
            for (long at = (long) i * batch; at < many; at += (long) connections * batch) {
              StringBuilder text = new StringBuilder();
              long to = Math.min(many, at + batch);
              for (long n = at; n < to; n++) {
                text.append(sums ? sumCommand(prefix + n, 1, 1) : addCommand(prefix + n));
              }
              line.socket
                  .getOutputStream()
                  .write(text.toString().getBytes(StandardCharsets.US_ASCII));
              for (long n = at; n < to; n++) {
                acknowledged.addAndGet(line.readReply() ? 1 : 0);
              }
            }
          }
        });
    return acknowledged.get();
  }

  private interface ConnectionTask {
    void run(int connection) throws Exception;
  }

  private void onEachConnection(ConnectionTask work) throws Exception {
    List<Thread> threads = new ArrayList<>();
    Exception[] failure = new Exception[1];
    for (int i = 0; i < connections; i++) {
      int connection = i;
      Thread thread =
          new Thread(
              () -> {
                try {
                  work.run(connection);
                } catch (Exception e) {
                  failure[0] = e;
                }
              });
      thread.start();
      threads.add(thread);
    }
    for (Thread each : threads) {
      each.join();
    }
    if (failure[0] != null) {
      throw failure[0];
    }
  }

  /** One connection, read with no more work than telling answers apart. */
  private static final class ReplyReader implements AutoCloseable {
    final Socket socket = new Socket();
    private final InputStream in;
    private final byte[] buffer = new byte[1 << 16];
    private int position;
    private int limit;

    ReplyReader(int port) throws IOException {
      socket.setTcpNoDelay(true);
      socket.setSoTimeout(TIMEOUT_MILLIS);
      socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), TIMEOUT_MILLIS);
      in = socket.getInputStream();
    }

    /** Takes one answer; whether it is a total. */
    boolean readReply() throws IOException {
      int type = next();
      while (next() != '\n') {
        // To the end of the line.
      }
      if (type == '$') {
        while (next() != '\n') {
          // The total.
        }
      }
      return type != '-';
    }

    private int next() throws IOException {
      if (position == limit) {
        limit = in.read(buffer);
        position = 0;
        if (limit < 0) {
          limit = 0;
          throw new EOFException("the counter closed the connection");
        }
      }
      return buffer[position++];
    }

    @Override
    public void close() throws IOException {
      socket.close();
    }
  }
}
