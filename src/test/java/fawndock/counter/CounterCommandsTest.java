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

/** Tests the effects and replies of commands through a client library. */
class CounterCommandsTest extends CounterServerFixture {
  @Test
  void amountsAndExpiry_throughClientLibrary_behaveAsInRedis() {
    try (Jedis client = client()) {
      assertEquals(5, client.incrBy("a", 5));
      assertEquals(3, client.decrBy("a", 2));
      assertEquals(3.1, client.incrByFloat("a", 0.1));
      assertEquals("3.1", client.get("a"));
      assertEquals(3, client.incrByFloat("a", -0.1));
      assertEquals(4, client.incrBy("a", 1));
      assertNull(client.get("b"));
      assertEquals("OK", client.set("b", "7.5"));
      assertNull(client.set("b", "1", SetParams.setParams().nx()));
      assertEquals("OK", client.set("c", "1", SetParams.setParams().px(90_000)));
      assertEquals("7.5", client.setGet("b", "8"));
      assertEquals(java.util.Arrays.asList("4", "8", null), client.mget("a", "b", "none"));
      assertEquals(90, client.ttl("c"));
      assertEquals(1, client.persist("c"));
      assertEquals(-1, client.pttl("c"));
      assertEquals(-2, client.pttl("none"));
      assertEquals(3, client.dbSize());
      assertEquals(2, client.exists("a", "c", "none"));
      assertEquals("string", client.type("a"));
      assertEquals(2, client.del("a", "b", "none"));
      assertEquals("none", client.type("a"));
      assertEquals(
          "1.5",
          new String(
              (byte[])
                  client.sendCommand(
                      () -> "FD.ADD".getBytes(StandardCharsets.US_ASCII), "q", "1.5", "60000"),
              StandardCharsets.US_ASCII));
      assertTrue(client.pttl("q") > 50_000);
      assertTrue(client.info().contains("db0:keys=2"));
    }
  }

  @Test
  void expire_withConditions_appliesOnlyIfTheyHold() {
    try (Jedis client = client()) {
      client.incrBy("a", 1);
      assertEquals(0, client.expire("a", 100, redis.clients.jedis.args.ExpiryOption.XX));
      assertEquals(0, client.expire("a", 100, redis.clients.jedis.args.ExpiryOption.GT));
      assertEquals(1, client.expire("a", 100, redis.clients.jedis.args.ExpiryOption.NX));
      assertEquals(0, client.expire("a", 200, redis.clients.jedis.args.ExpiryOption.NX));
      assertEquals(0, client.expire("a", 200, redis.clients.jedis.args.ExpiryOption.LT));
      assertEquals(1, client.expire("a", 200, redis.clients.jedis.args.ExpiryOption.GT));
      assertEquals(200, client.ttl("a"));
      assertEquals(1, client.pexpire("a", 0));
      assertNull(client.get("a"));
    }
  }

  @Test
  void errors_haveTheDocumentedTexts() {
    try (Jedis client = client()) {
      client.set("whole", Long.toString(Long.MAX_VALUE));
      client.set("part", "0.5");
      assertEquals(
          "ERR increment or decrement would overflow",
          errorMessage(() -> client.incrBy("whole", 1)));
      assertEquals("9223372036854775807", client.get("whole"));
      assertEquals(
          "ERR value is not an integer or out of range",
          errorMessage(() -> client.incrBy("part", 1)));
      assertEquals(
          "ERR value is not a valid float",
          errorMessage(
              () ->
                  client.sendCommand(
                      redis.clients.jedis.Protocol.Command.INCRBYFLOAT, "part", "much")));
      assertEquals(
          "ERR value is not a valid float", errorMessage(() -> client.set("part", "text")));
      assertEquals(
          "ERR wrong number of arguments for 'get' command",
          errorMessage(() -> client.sendCommand(redis.clients.jedis.Protocol.Command.GET)));
      assertEquals(
          "ERR unknown command 'LPUSH', with args beginning with: 'l' 'x' ",
          errorMessage(() -> client.lpush("l", "x")));
      assertEquals("ERR DB index is out of range", errorMessage(() -> client.select(1)));
      assertEquals(
          "ERR invalid expire time in 'set' command",
          errorMessage(() -> client.set("n", "1", SetParams.setParams().ex(0))));
      assertEquals(
          "ERR syntax error",
          errorMessage(
              () ->
                  client.sendCommand(redis.clients.jedis.Protocol.Command.SET, "n", "1", "SOON")));
    }
  }

  @Test
  void protocolVersionThreeAndPassword_areAccepted() throws IOException {
    restart("secret", 1_000);
    HostAndPort address = new HostAndPort("127.0.0.1", port);
    try (Jedis client =
        new Jedis(
            address,
            DefaultJedisClientConfig.builder()
                .protocol(RedisProtocol.RESP3)
                .password("secret")
                .clientName("tester")
                .build())) {
      assertEquals(1, client.incrBy("a", 1));
      assertNull(client.get("none"));
      assertEquals("tester", client.clientGetname());
    }
    try (Jedis client = client()) {
      assertEquals("NOAUTH Authentication required.", errorMessage(() -> client.get("a")));
      assertTrue(errorMessage(() -> client.auth("wrong")).startsWith("WRONGPASS"));
      assertEquals("OK", client.auth("secret"));
      assertEquals("1", client.get("a"));
    }
  }

  @Test
  void transaction_withInvalidCommand_isDiscarded() throws IOException {
    try (Jedis client = client()) {
      Transaction transaction = client.multi();
      transaction.incrBy("a", 2);
      transaction.incrByFloat("a", 0.5);
      assertEquals(List.of(2L, 2.5), transaction.exec());
      client.sendCommand(redis.clients.jedis.Protocol.Command.MULTI);
      client.sendCommand(redis.clients.jedis.Protocol.Command.INCRBY, "a", "1");
      errorMessage(() -> client.sendCommand(redis.clients.jedis.Protocol.Command.GET));
      assertEquals(
          "EXECABORT Transaction discarded because of previous errors.",
          errorMessage(() -> client.sendCommand(redis.clients.jedis.Protocol.Command.EXEC)));
      assertEquals("2.5", client.get("a"));
      assertEquals(
          "ERR EXEC without MULTI",
          errorMessage(() -> client.sendCommand(redis.clients.jedis.Protocol.Command.EXEC)));
    }
  }

  /**
   * An add in the transaction that expires the name must treat the name as new although it is not
   * swept yet. The result must be the same after recovery.
   */
  @Test
  void add_afterExpiryInSameTransaction_startsAtZero() throws IOException {
    try (Jedis client = client()) {
      Transaction transaction = client.multi();
      transaction.incrBy("a", 5);
      transaction.pexpire("a", -1);
      transaction.incrBy("a", 2);
      assertEquals(List.of(5L, 1L, 2L), transaction.exec());
      assertEquals(-1, client.pttl("a"));
    }
    restart("", 1_000);
    try (Jedis client = client()) {
      assertEquals("2", client.get("a"));
    }
  }

  @Test
  void scan_withPattern_returnsEachNameOnce() {
    try (Jedis client = client()) {
      Pipeline pipeline = client.pipelined();
      for (int i = 0; i < 3_000; i++) {
        pipeline.incrBy("name-" + i, i);
      }
      pipeline.sync();
      Set<String> returnedNames = new HashSet<>();
      int returnedCount = 0;
      String cursor = "0";
      do {
        var page = client.scan(cursor, new ScanParams().match("name-[12]*").count(100));
        returnedNames.addAll(page.getResult());
        returnedCount += page.getResult().size();
        cursor = page.getCursor();
      } while (!cursor.equals("0"));
      assertEquals(2 * 1_111, returnedCount);
      assertEquals(returnedCount, returnedNames.size());
    }
  }
}
