package fawndock.counter;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import redis.clients.jedis.DefaultJedisClientConfig;
import redis.clients.jedis.HostAndPort;
import redis.clients.jedis.Jedis;
import redis.clients.jedis.Pipeline;
import redis.clients.jedis.RedisProtocol;
import redis.clients.jedis.Transaction;
import redis.clients.jedis.params.ScanParams;
import redis.clients.jedis.params.SetParams;

/** What commands do and answer, through a client library. */
class CounterCommandsTest extends CounterServerFixture {
  @Test
  void amountsAndExpiry_throughAClientLibrary_areAsRedisDocuments() {
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
  void expire_withConditions_appliesOnlyWhenTheyHold() {
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
  void errors_haveTheWordingOfThePublicDocumentation() {
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
  void protocolVersionThreeAndPassword_areAccepted() throws IOException {
    restart("secret", 1_000);
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
  void transaction_withABadCommand_isDiscardedWhole() throws IOException {
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
  void add_afterExpiryInTheSameTransaction_beginsAtZero() throws IOException {
    try (Jedis c = client()) {
      Transaction t = c.multi();
      t.incrBy("a", 5);
      t.pexpire("a", -1);
      t.incrBy("a", 2);
      assertEquals(List.of(5L, 1L, 2L), t.exec());
      assertEquals(-1, c.pttl("a"));
    }
    restart("", 1_000);
    try (Jedis c = client()) {
      assertEquals("2", c.get("a"));
    }
  }

  @Test
  void scan_withAPattern_returnsEachNameOnce() {
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
}
