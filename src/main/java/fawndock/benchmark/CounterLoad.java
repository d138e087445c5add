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
 * Sends additions to a counter over several connections, in a closed loop at maximum throughput or
 * in an open loop at a rate. Each connection has its own threads.
 */
final class CounterLoad {
  /** Result of a run; the latencies are null for a closed loop. */
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

  /** Keeps a number of calls in flight on each connection for a time. */
  LoadResult runClosedLoop(int outstanding, double seconds, long seed) throws Exception {
    AtomicLong acknowledged = new AtomicLong();
    AtomicLong rejected = new AtomicLong();
    long startNanos = System.nanoTime();
    long endNanos = startNanos + (long) (seconds * 1e9);
    onEachConnection(
        i -> {
          SplittableRandom random = new SplittableRandom(seed + i);
          try (ReplyReader replyReader = new ReplyReader(port)) {
            byte[][] batches = new byte[16][];
            for (int b = 0; b < batches.length; b++) {
              batches[b] = batch(random, outstanding / 2);
            }
            replyReader.socket.getOutputStream().write(batches[0]);
            for (int b = 1; System.nanoTime() < endNanos; b++) {
              replyReader.socket.getOutputStream().write(batches[b % batches.length]);
              readReplies(replyReader, outstanding / 2, acknowledged, rejected);
            }
            readReplies(replyReader, outstanding / 2, acknowledged, rejected);
          }
        });
    return new LoadResult(
        acknowledged.get(), rejected.get(), (System.nanoTime() - startNanos) / 1e9, null);
  }

  private static void readReplies(
      ReplyReader replyReader, int count, AtomicLong acknowledged, AtomicLong rejected)
      throws IOException {
    int acknowledgedCount = 0;
    for (int i = 0; i < count; i++) {
      acknowledgedCount += replyReader.readReply() ? 1 : 0;
    }
    acknowledged.addAndGet(acknowledgedCount);
    rejected.addAndGet(count - acknowledgedCount);
  }

  private byte[] batch(SplittableRandom random, int count) {
    StringBuilder text = new StringBuilder();
    for (int i = 0; i < count; i++) {
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

  /**
   * Like {@link #runClosedLoop}, but sends growing sums, as one gateway on each connection would.
   */
  LoadResult runClosedLoopSums(int outstanding, double seconds, long seed) throws Exception {
    AtomicLong acknowledged = new AtomicLong();
    AtomicLong rejected = new AtomicLong();
    long startNanos = System.nanoTime();
    long endNanos = startNanos + (long) (seconds * 1e9);
    onEachConnection(
        i -> {
          SplittableRandom random = new SplittableRandom(seed + i);
          long sum = 0;
          try (ReplyReader replyReader = new ReplyReader(port)) {
            while (System.nanoTime() < endNanos) {
              StringBuilder text = new StringBuilder();
              for (int n = 0; n < outstanding; n++) {
                text.append(
                    sumCommand("quota-" + random.nextInt(nameCount), seed * 1_000 + i, ++sum));
              }
              replyReader
                  .socket
                  .getOutputStream()
                  .write(text.toString().getBytes(StandardCharsets.US_ASCII));
              readReplies(replyReader, outstanding, acknowledged, rejected);
            }
          }
        });
    return new LoadResult(
        acknowledged.get(), rejected.get(), (System.nanoTime() - startNanos) / 1e9, null);
  }

  static String sumCommand(String name, long origin, long total) {
    StringBuilder text = new StringBuilder("*6\r\n");
    for (String argument :
        new String[] {
          "FD.SUM", name, Long.toString(origin), Long.toString(total), "0", "3600000"
        }) {
      text.append('$').append(argument.length()).append("\r\n").append(argument).append("\r\n");
    }
    return text.toString();
  }

  /**
   * Sends single calls at a rate, evenly spread over the connections, without waiting for replies.
   */
  LoadResult runAtRate(double perSecond, double seconds, long seed) throws Exception {
    Histogram micros = new Histogram(60_000_000L, 3);
    AtomicLong acknowledged = new AtomicLong();
    AtomicLong rejected = new AtomicLong();
    long startNanos = System.nanoTime();
    onEachConnection(
        i -> {
          SplittableRandom random = new SplittableRandom(seed + i);
          ArrayBlockingQueue<Long> due = new ArrayBlockingQueue<>(1 << 16);
          try (ReplyReader replyReader = new ReplyReader(port)) {
            Thread reader =
                new Thread(
                    () -> {
                      try {
                        for (long at = due.take(); at >= 0; at = due.take()) {
                          boolean good = replyReader.readReply();
                          long latency = (System.nanoTime() - at) / 1_000;
                          (good ? acknowledged : rejected).incrementAndGet();
                          synchronized (micros) {
                            micros.recordValue(
                                Math.min(latency, micros.getHighestTrackableValue()));
                          }
                        }
                      } catch (IOException | InterruptedException e) {
                        due.clear();
                      }
                    });
            reader.start();
            double gapNanos = 1e9 * connections / perSecond;
            long all = (long) (seconds * 1e9 / gapNanos);
            for (long n = 0; n < all; n++) {
              long at = startNanos + (long) ((n + (double) i / connections) * gapNanos);
              while (System.nanoTime() < at) {
                LockSupport.parkNanos(Math.max(1, at - System.nanoTime()));
              }
              due.put(at);
              replyReader
                  .socket
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
        acknowledged.get(), rejected.get(), (System.nanoTime() - startNanos) / 1e9, micros);
  }

  /** Adds once to each of a number of names. Returns the number of acknowledged additions. */
  long fill(long count, String prefix, boolean sums) throws Exception {
    AtomicLong acknowledged = new AtomicLong();
    int batch = 500;
    onEachConnection(
        i -> {
          try (ReplyReader replyReader = new ReplyReader(port)) {
            for (long at = (long) i * batch; at < count; at += (long) connections * batch) {
              StringBuilder text = new StringBuilder();
              long to = Math.min(count, at + batch);
              for (long n = at; n < to; n++) {
                text.append(sums ? sumCommand(prefix + n, 1, 1) : addCommand(prefix + n));
              }
              replyReader
                  .socket
                  .getOutputStream()
                  .write(text.toString().getBytes(StandardCharsets.US_ASCII));
              for (long n = at; n < to; n++) {
                acknowledged.addAndGet(replyReader.readReply() ? 1 : 0);
              }
            }
          }
        });
    return acknowledged.get();
  }

  private interface ConnectionTask {
    void run(int connection) throws Exception;
  }

  private void onEachConnection(ConnectionTask task) throws Exception {
    List<Thread> threads = new ArrayList<>();
    Exception[] failure = new Exception[1];
    for (int i = 0; i < connections; i++) {
      int connection = i;
      Thread thread =
          new Thread(
              () -> {
                try {
                  task.run(connection);
                } catch (Exception e) {
                  failure[0] = e;
                }
              });
      thread.start();
      threads.add(thread);
    }
    for (Thread thread : threads) {
      thread.join();
    }
    if (failure[0] != null) {
      throw failure[0];
    }
  }

  /** Reads replies from one connection and parses only whether each is an error. */
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

    /** Reads one reply. Returns whether it is a total, not an error. */
    boolean readReply() throws IOException {
      int type = next();
      while (next() != '\n') {
        // Skips the rest of the line.
      }
      if (type == '$') {
        while (next() != '\n') {
          // Skips the total.
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
