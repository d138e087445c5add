package fawndock.counter;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import fawndock.counter.storage.GroupCommit.Durability;
import fawndock.settings.Address;
import fawndock.settings.CounterSettings;
import fawndock.settings.GatewaySettings;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import redis.clients.jedis.DefaultJedisClientConfig;
import redis.clients.jedis.HostAndPort;
import redis.clients.jedis.Jedis;
import redis.clients.jedis.Pipeline;
import redis.clients.jedis.RedisProtocol;
import redis.clients.jedis.Response;
import redis.clients.jedis.Transaction;
import redis.clients.jedis.exceptions.JedisDataException;
import redis.clients.jedis.params.ScanParams;
import redis.clients.jedis.params.SetParams;

/** The running counter, asked by a client library and by hand. */
class CounterServerTest {
  private static final CounterSettings.Fleet ALONE =
      new CounterSettings.Fleet("", 1, 150, 2_000, java.util.Map.of());
  @TempDir private Path directory;
  private FileStorage files;
  private FaultInjectingStorage disk;
  private CounterServer server;
  private int port;

  @BeforeEach
  void start() throws IOException {
    start("", 1_000);
  }

  private void start(String password, long stallMillis) throws IOException {
    files = new FileStorage(directory, true);
    disk = new FaultInjectingStorage(files);
    server =
        new CounterServer(
            new CounterSettings(
                new Address("127.0.0.1", 0),
                directory,
                Durability.ALWAYS,
                100,
                1 << 20,
                password,
                1_100,
                300_000,
                stallMillis,
                new GatewaySettings.Log(false, "warn"),
                ALONE),
            disk);
    port = server.start(bytes -> {});
  }

  @AfterEach
  void stop() throws IOException {
    server.stop();
    files.close();
  }

  private void again(String password, long stallMillis) throws IOException {
    stop();
    start(password, stallMillis);
  }

  private Jedis client() {
    return new Jedis("127.0.0.1", port, 20_000);
  }

  private static String error(org.junit.jupiter.api.function.Executable what) {
    return assertThrows(JedisDataException.class, what).getMessage();
  }

  @Test
  void countsAsAClientLibraryExpects() {
    try (Jedis c = client()) {
      assertEquals(5, c.incrBy("a", 5));
      assertEquals(3, c.decrBy("a", 2));
      assertEquals(3.1, c.incrByFloat("a", 0.1));
      assertEquals("3.1", c.get("a"));
      assertEquals(3, c.incrByFloat("a", -0.1));
      assertEquals(4, c.incrBy("a", 1));
      assertNull(c.get("b"));
      assertEquals("OK", c.set("b", "7.5"));
      assertNull(c.set("b", "1", SetParams.setParams().nx()));
      assertEquals("OK", c.set("c", "1", SetParams.setParams().px(90_000)));
      assertEquals("7.5", c.setGet("b", "8"));
      assertEquals(java.util.Arrays.asList("4", "8", null), c.mget("a", "b", "none"));
      assertEquals(90, c.ttl("c"));
      assertEquals(1, c.persist("c"));
      assertEquals(-1, c.pttl("c"));
      assertEquals(-2, c.pttl("none"));
      assertEquals(3, c.dbSize());
      assertEquals(2, c.exists("a", "c", "none"));
      assertEquals("string", c.type("a"));
      assertEquals(2, c.del("a", "b", "none"));
      assertEquals("none", c.type("a"));
      assertEquals(
          "1.5",
          new String(
              (byte[])
                  c.sendCommand(
                      () -> "FD.ADD".getBytes(StandardCharsets.US_ASCII), "q", "1.5", "60000"),
              StandardCharsets.US_ASCII));
      assertTrue(c.pttl("q") > 50_000);
      assertTrue(c.info().contains("db0:keys=2"));
    }
  }

  @Test
  void expiryHasItsConditions() {
    try (Jedis c = client()) {
      c.incrBy("a", 1);
      assertEquals(0, c.expire("a", 100, redis.clients.jedis.args.ExpiryOption.XX));
      assertEquals(0, c.expire("a", 100, redis.clients.jedis.args.ExpiryOption.GT));
      assertEquals(1, c.expire("a", 100, redis.clients.jedis.args.ExpiryOption.NX));
      assertEquals(0, c.expire("a", 200, redis.clients.jedis.args.ExpiryOption.NX));
      assertEquals(0, c.expire("a", 200, redis.clients.jedis.args.ExpiryOption.LT));
      assertEquals(1, c.expire("a", 200, redis.clients.jedis.args.ExpiryOption.GT));
      assertEquals(200, c.ttl("a"));
      assertEquals(1, c.pexpire("a", 0));
      assertNull(c.get("a"));
    }
  }

  @Test
  void errorsHaveThePublicWording() {
    try (Jedis c = client()) {
      c.set("whole", Long.toString(Long.MAX_VALUE));
      c.set("part", "0.5");
      assertEquals("ERR increment or decrement would overflow", error(() -> c.incrBy("whole", 1)));
      assertEquals("9223372036854775807", c.get("whole"));
      assertEquals("ERR value is not an integer or out of range", error(() -> c.incrBy("part", 1)));
      assertEquals(
          "ERR value is not a valid float",
          error(
              () ->
                  c.sendCommand(redis.clients.jedis.Protocol.Command.INCRBYFLOAT, "part", "much")));
      assertEquals("ERR value is not a valid float", error(() -> c.set("part", "text")));
      assertEquals(
          "ERR wrong number of arguments for 'get' command",
          error(() -> c.sendCommand(redis.clients.jedis.Protocol.Command.GET)));
      assertEquals(
          "ERR unknown command 'LPUSH', with args beginning with: 'l' 'x' ",
          error(() -> c.lpush("l", "x")));
      assertEquals("ERR DB index is out of range", error(() -> c.select(1)));
      assertEquals(
          "ERR invalid expire time in 'set' command",
          error(() -> c.set("n", "1", SetParams.setParams().ex(0))));
      assertEquals(
          "ERR syntax error",
          error(() -> c.sendCommand(redis.clients.jedis.Protocol.Command.SET, "n", "1", "SOON")));
    }
  }

  @Test
  void versionThreeAndAPassword() throws IOException {
    again("secret", 1_000);
    HostAndPort at = new HostAndPort("127.0.0.1", port);
    try (Jedis c =
        new Jedis(
            at,
            DefaultJedisClientConfig.builder()
                .protocol(RedisProtocol.RESP3)
                .password("secret")
                .clientName("tester")
                .build())) {
      assertEquals(1, c.incrBy("a", 1));
      assertNull(c.get("none"));
      assertEquals("tester", c.clientGetname());
    }
    try (Jedis c = client()) {
      assertEquals("NOAUTH Authentication required.", error(() -> c.get("a")));
      assertTrue(error(() -> c.auth("wrong")).startsWith("WRONGPASS"));
      assertEquals("OK", c.auth("secret"));
      assertEquals("1", c.get("a"));
    }
  }

  @Test
  void transactionsAreDoneWholeOrNotAtAll() throws IOException {
    try (Jedis c = client()) {
      Transaction t = c.multi();
      t.incrBy("a", 2);
      t.incrByFloat("a", 0.5);
      assertEquals(List.of(2L, 2.5), t.exec());
      c.sendCommand(redis.clients.jedis.Protocol.Command.MULTI);
      c.sendCommand(redis.clients.jedis.Protocol.Command.INCRBY, "a", "1");
      error(() -> c.sendCommand(redis.clients.jedis.Protocol.Command.GET));
      assertEquals(
          "EXECABORT Transaction discarded because of previous errors.",
          error(() -> c.sendCommand(redis.clients.jedis.Protocol.Command.EXEC)));
      assertEquals("2.5", c.get("a"));
      assertEquals(
          "ERR EXEC without MULTI",
          error(() -> c.sendCommand(redis.clients.jedis.Protocol.Command.EXEC)));
    }
  }

  /**
   * An expired name that was not swept yet is new to an add, in one batch with its expiry, and
   * stays so.
   */
  @Test
  void anExpiredNameIsNewToAnAddInTheSameBatch() throws IOException {
    try (Jedis c = client()) {
      Transaction t = c.multi();
      t.incrBy("a", 5);
      t.pexpire("a", -1);
      t.incrBy("a", 2);
      assertEquals(List.of(5L, 1L, 2L), t.exec());
      assertEquals(-1, c.pttl("a"));
    }
    again("", 1_000);
    try (Jedis c = client()) {
      assertEquals("2", c.get("a"));
    }
  }

  @Test
  void aScanSeesEachNameOnce() {
    try (Jedis c = client()) {
      Pipeline p = c.pipelined();
      for (int i = 0; i < 3_000; i++) {
        p.incrBy("name-" + i, i);
      }
      p.sync();
      Set<String> seen = new HashSet<>();
      int many = 0;
      String cursor = "0";
      do {
        var page = c.scan(cursor, new ScanParams().match("name-[12]*").count(100));
        seen.addAll(page.getResult());
        many += page.getResult().size();
        cursor = page.getCursor();
      } while (!cursor.equals("0"));
      assertEquals(2 * 1_111, many);
      assertEquals(many, seen.size());
    }
  }

  @Test
  void countsAndExpiriesAreThereAfterARestart() throws IOException {
    long until;
    try (Jedis c = client()) {
      for (int i = 0; i < 200; i++) {
        c.incrByFloat("a", 0.1);
      }
      c.incrBy("b", 1);
      c.expire("b", 1_000);
      c.incrBy("gone", 1);
      c.del("gone");
      until = System.currentTimeMillis() + c.pttl("b");
    }
    again("", 1_000);
    try (Jedis c = client()) {
      assertEquals("20", c.get("a"));
      assertTrue(Math.abs(System.currentTimeMillis() + c.pttl("b") - until) < 900, "expiry moved");
      assertEquals(2, c.dbSize());
    }
  }

  @Test
  void aSecondProcessIsRefusedTheDirectory() {
    assertEquals(
        directory + " is in use by another counter",
        assertThrows(IOException.class, () -> new FileStorage(directory, true)).getMessage());
  }

  /** Many more answers than may wait: reading pauses, nothing is lost and all come in order. */
  @Test
  void aDeepPipelineIsAnsweredInOrder() throws Exception {
    int many = 200_000;
    try (Socket socket = new Socket("127.0.0.1", port)) {
      Thread writer =
          new Thread(
              () -> {
                try {
                  byte[] one = "INCRBY deep 1\r\n".getBytes(StandardCharsets.US_ASCII);
                  var out = new java.io.BufferedOutputStream(socket.getOutputStream(), 1 << 16);
                  for (int i = 0; i < many; i++) {
                    out.write(one);
                  }
                  out.flush();
                } catch (IOException e) {
                  throw new java.io.UncheckedIOException(e);
                }
              });
      writer.start();
      BufferedReader in = reader(socket);
      long next = 1;
      for (int i = 0; i < many; i++) {
        String line = in.readLine();
        if (line.startsWith(":")) { // Others were turned away: more than a group has room for.
          assertEquals(":" + next++, line);
        } else {
          assertEquals("-BUSY the log is behind, nothing was added", line);
        }
      }
      writer.join();
    }
  }

  /** Who does not read answers is not read from: what he sends stays in the sockets. */
  @Test
  void answersThatAreNotReadStopTheReading() throws IOException {
    byte[] echo = ("ECHO " + "x".repeat(60_000) + "\r\n").getBytes(StandardCharsets.US_ASCII);
    int most = 2_000;
    try (SocketChannel channel = SocketChannel.open(new InetSocketAddress("127.0.0.1", port));
        Jedis other = client()) {
      channel.configureBlocking(false);
      int sent = 0;
      ByteBuffer next = ByteBuffer.wrap(echo);
      for (int inVain = 0; inVain < 200 && sent < most; ) {
        inVain = channel.write(next) > 0 ? 0 : inVain + 1;
        if (!next.hasRemaining()) {
          sent++;
          next.clear();
        }
        other.ping(); // The counter has had a turn.
      }
      assertTrue(sent < most, "120 MB were taken without an answer read");
    }
  }

  private static BufferedReader reader(Socket socket) throws IOException {
    socket.setSoTimeout(20_000);
    return new BufferedReader(
        new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
  }

  @Test
  void halfACommandIsGivenUpAndAHugeOneRefused() throws IOException {
    try (Socket half = new Socket("127.0.0.1", port);
        Socket huge = new Socket("127.0.0.1", port)) {
      half.getOutputStream().write("*2\r\n$3\r\nGET\r\n$1".getBytes(StandardCharsets.US_ASCII));
      huge.getOutputStream()
          .write("*2\r\n$3\r\nGET\r\n$2147483647\r\nab".getBytes(StandardCharsets.US_ASCII));
      assertEquals("-ERR Protocol error: invalid bulk length", reader(huge).readLine());
      assertEquals(-1, huge.getInputStream().read());
      assertNull(reader(half).readLine());
    }
  }

  @Test
  void aThousandConnectionsOfWhichFewAsk() throws IOException {
    List<Socket> all = new ArrayList<>();
    try {
      for (int i = 0; i < 1_000; i++) {
        all.add(new Socket("127.0.0.1", port));
      }
      for (int round = 0; round < 3; round++) {
        for (int i = 0; i < 1_000; i += 10) {
          all.get(i).getOutputStream().write("INCRBY n 1\r\n".getBytes(StandardCharsets.US_ASCII));
        }
        for (int i = 0; i < 1_000; i += 10) {
          assertTrue(reader(all.get(i)).readLine().matches(":[0-9]+"));
        }
      }
      try (Jedis c = client()) {
        assertEquals("300", c.get("n"));
        assertTrue(c.info().contains("connected_clients:1001"));
      }
    } finally {
      for (Socket each : all) {
        each.close();
      }
    }
  }

  /**
   * Each answer waits for the sync of its own group, and what comes after it on the connection with
   * it.
   */
  @Test
  void answersWaitForTheirOwnGroupAndKeepTheirOrder() throws IOException {
    disk.isStepping = true;
    disk.syncPermits.acquireUninterruptibly();
    try (Socket first = new Socket("127.0.0.1", port);
        Socket second = new Socket("127.0.0.1", port);
        Jedis other = client()) {
      first.getOutputStream().write("INCRBY a 1\r\nGET a\r\n".getBytes(StandardCharsets.US_ASCII));
      while (other.get("a") == null) {
        Thread.onSpinWait();
      }
      second.getOutputStream().write("INCRBY b 1\r\n".getBytes(StandardCharsets.US_ASCII));
      while (other.get("b") == null) {
        Thread.onSpinWait();
      }
      assertEquals(0, first.getInputStream().available());
      disk.syncPermits.release();
      BufferedReader in = reader(first);
      assertEquals(List.of(":1", "$1", "1"), List.of(in.readLine(), in.readLine(), in.readLine()));
      other.ping(); // What was to go out with it has gone.
      assertEquals(0, second.getInputStream().available(), "acknowledged before its sync");
      disk.isStepping = false;
      disk.syncPermits.release();
      assertEquals(":1", reader(second).readLine());
    }
  }

  /**
   * While a sync hangs, adds wait up to one group; beyond it they are refused at once; reads go on.
   */
  @Test
  void aSlowDiskDelaysAcknowledgementsAndLosesNone() throws Exception {
    disk.syncPermits.acquireUninterruptibly();
    int many = 60_000;
    try (Jedis other = client();
        Socket socket = new Socket("127.0.0.1", port)) {
      StringBuilder adds = new StringBuilder();
      for (int i = 0; i < many; i++) {
        adds.append("INCRBY slow 1\r\n");
      }
      Thread writer =
          new Thread(
              () -> {
                try {
                  socket
                      .getOutputStream()
                      .write(adds.toString().getBytes(StandardCharsets.US_ASCII));
                } catch (IOException e) {
                  throw new java.io.UncheckedIOException(e);
                }
              });
      writer.start();
      assertEquals("PONG", other.ping());
      try (Socket third = new Socket("127.0.0.1", port)) {
        // Fills what room there is until calls are refused.
        byte[] large =
            ("FD.ADD " + "x".repeat(1_000) + " 1 1000000\r\n")
                .repeat(100)
                .getBytes(StandardCharsets.US_ASCII);
        while (other.info().contains("refused_commands:0")) {
          third.getOutputStream().write(large);
        }
      }
      assertEquals(0, socket.getInputStream().available(), "acknowledged before the sync");
      disk.syncPermits.release();
      BufferedReader in = reader(socket);
      long acknowledged = 0;
      for (int i = 0; i < many; i++) {
        acknowledged += in.readLine().startsWith(":") ? 1 : 0;
      }
      writer.join();
      assertTrue(acknowledged > 0);
      assertEquals(Long.toString(acknowledged), other.get("slow"));
    }
  }

  @Test
  void aFullDiskRefusesAddsKeepsReadsAndComesBack() throws Exception {
    try (Jedis c = client();
        Socket socket = new Socket("127.0.0.1", port)) {
      c.incrBy("a", 1);
      disk.isFull = true;
      socket.getOutputStream().write("INCRBY a 1\r\n".getBytes(StandardCharsets.US_ASCII));
      String told = "";
      while (!told.startsWith("MISCONF")) {
        told = c.info().contains("refusing:MISCONF") ? error(() -> c.incrBy("a", 10)) : "";
      }
      assertEquals("MISCONF the log cannot be written (no space left), nothing was added", told);
      assertEquals("2", c.get("a"));
      assertEquals(0, socket.getInputStream().available());
      disk.isFull = false;
      assertEquals(":2", reader(socket).readLine());
      assertEquals(3, c.incrBy("a", 1));
    }
    again("", 1_000);
    try (Jedis c = client()) {
      assertEquals("3", c.get("a"));
    }
  }

  /** What a failed sync covered is acknowledged only when a new file holds it. */
  @Test
  void afterAFailedSyncItGoesOnInANewFile() throws Exception {
    try (Jedis c = client()) {
      c.incrBy("a", 1);
      disk.failNextSync = true;
      assertEquals(2, c.incrBy("a", 1));
      assertTrue(Files.exists(directory.resolve("snapshot-00000000000000000002.snap")));
      assertTrue(Files.exists(directory.resolve("segment-00000000000000000003.log")));
      assertEquals(3, c.incrBy("a", 1));
    }
    again("", 1_000);
    try (Jedis c = client()) {
      assertEquals("3", c.get("a"));
    }
  }

  /** The first is refused, and the others count on. */
  @Test
  void namesConnectionsAndTransactionsHaveBounds() throws IOException {
    try (Jedis c = client()) {
      c.incrBy("old", 1);
      String told = "";
      for (int i = 0; told.isEmpty(); i++) {
        try {
          c.incrBy("name-" + i, 1);
        } catch (JedisDataException e) {
          told = e.getMessage();
        }
      }
      assertEquals("OOM command not allowed when used memory > 'maxmemory'.", told);
      assertEquals(told, error(() -> c.set("another", "1")));
      assertEquals(2, c.incrBy("old", 1));
      assertEquals("ERR a name is at most 1024 bytes", error(() -> c.incrBy("x".repeat(1_025), 1)));
      Transaction t = c.multi();
      for (int i = 0; i < fawndock.counter.Transaction.MAX_COMMANDS + 1; i++) {
        t.incrBy("old", 1);
      }
      assertEquals("EXECABORT Transaction discarded because of previous errors.", error(t::exec));
      assertEquals("2", c.get("old"));
      assertEquals(
          "ERR unknown command 'A  B', with args beginning with: ",
          error(() -> c.sendCommand(() -> "A\r\nB".getBytes(StandardCharsets.US_ASCII))));
    }
    List<Socket> all = new ArrayList<>();
    try {
      for (int i = 0; i < 1_100; i++) {
        all.add(new Socket("127.0.0.1", port));
        all.get(i).getOutputStream().write("PING\r\n".getBytes(StandardCharsets.US_ASCII));
      }
      Set<String> first = new HashSet<>();
      for (Socket each : all) {
        first.add(reader(each).readLine());
      }
      assertTrue(first.contains("+PONG"), first.toString());
      try (Socket more = new Socket("127.0.0.1", port)) {
        assertEquals("-ERR max number of clients reached", reader(more).readLine());
      }
    } finally {
      for (Socket each : all) {
        each.close();
      }
    }
  }

  /** A transaction that has no room in the open group is not begun. */
  @Test
  void aTransactionIsRefusedWholeWhenThereIsNoRoomForAll() throws Exception {
    disk.syncPermits.acquireUninterruptibly();
    try (Socket first = new Socket("127.0.0.1", port);
        Socket second = new Socket("127.0.0.1", port);
        Jedis other = client()) {
      first.getOutputStream().write("INCRBY first 1\r\n".getBytes(StandardCharsets.US_ASCII));
      while (other.get("first") == null) {
        Thread.onSpinWait();
      }
      byte[] large = ("INCRBY " + "x".repeat(1_000) + " 1\r\n").getBytes(StandardCharsets.US_ASCII);
      // Until what is left of the group has room for some of the transaction but not for all.
      while (waiting(other) < (1 << 20) - 40_000) {
        second.getOutputStream().write(large);
      }
      try (Jedis c = client()) {
        Transaction t = c.multi();
        t.incrBy("small", 1);
        for (int i = 0; i < 100; i++) {
          t.incrBy("y".repeat(1_000), 1);
        }
        assertTrue(error(t::exec).startsWith("BUSY"));
        assertNull(c.get("small"));
      }
    } finally {
      disk.syncPermits.release();
    }
  }

  private static long waiting(Jedis c) {
    return Long.parseLong(c.info().replaceAll("(?s).*waiting_bytes:([0-9]+).*", "$1"));
  }

  /** Enough adds for several snapshots, taken while they go on. */
  @Test
  void snapshotsAreTakenWhileItCounts() throws Exception {
    long all = 0;
    try (Jedis c = client()) {
      String longName = "n".repeat(900);
      for (int round = 0; round < 30; round++) {
        Pipeline p = c.pipelined();
        List<Response<Long>> totals = new ArrayList<>();
        for (int i = 0; i < 200; i++) {
          totals.add(p.incrBy(longName + i, 1));
        }
        p.sync();
        for (Response<Long> each : totals) {
          assertEquals(round + 1, each.get());
          all++;
        }
      }
    }
    assertEquals(6_000, all);
    long newest =
        fawndock.counter.storage.LogFormat.FileKind.SNAPSHOT.filesBySequence(files).lastKey();
    assertTrue(newest > 0, "no snapshot was taken");
    again("", 1_000);
    try (Jedis c = client()) {
      assertEquals(200, c.dbSize());
      assertEquals("30", c.get("n".repeat(900) + 7));
    }
  }
}
