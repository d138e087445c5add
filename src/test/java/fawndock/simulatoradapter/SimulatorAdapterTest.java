package fawndock.simulatoradapter;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

/** Feeds lines of the simulator's protocol to the adapter and checks its replies. */
class SimulatorAdapterTest {
  private static final String ATTACH =
      "{\"what\":\"Attach\",\"i\":3,\"rng-seed\":5,\"options\":{\"novel\":1,"
          + "\"classes\":[{\"name\":\"c\",\"aim-us\":500000,\"deadline-us\":900000,"
          + "\"idempotency\":\"idempotent\"}],\"packages\":[{\"name\":\"p\",\"rate\":2,\"store-size\":4}],"
          + "\"extra\":{\"counter\":true,\"count-wait-us\":30000},\"caps\":{\"max-attempts\":3}}},"
          + "{\"what\":\"Registry\",\"i\":3,\"kind\":\"cached\",\"rev\":1,"
          + "\"members-list\":[{\"worker\":\"w\",\"availability\":\"Running\"}]}";
  private static final String CALL =
      "{\"what\":\"Call\",\"i\":3,\"op-id\":7,\"class\":\"c\",\"tariff\":\"p\","
          + "\"customer\":\"91f03b7c55d20a64\",\"give-up-at-us\":1900000,\"price-units\":1,\"doors\":1,\"base\":0}";

  private final ByteArrayOutputStream out = new ByteArrayOutputStream();
  private final ByteArrayOutputStream err = new ByteArrayOutputStream();

  private static String batch(long nowMicros, String... events) {
    return "{\"now-us\":" + nowMicros + ",\"happened\":[" + String.join(",", events) + "]}\n";
  }

  private int run(SimulatorAdapter adapter, String input) throws IOException {
    return adapter.run(
        new ByteArrayInputStream(input.getBytes(StandardCharsets.UTF_8)),
        out,
        new PrintStream(err, true, StandardCharsets.UTF_8));
  }

  @Test
  void request_isForwardedAfterItsCounterReply() throws IOException {
    int exitCode =
        run(
            new SimulatorAdapter(),
            batch(900_000)
                + batch(1_000_000, ATTACH, CALL)
                + batch(
                    1_002_000,
                    "{\"what\":\"LedgerReply\",\"i\":3,\"book\":\"r91f03b7c55d20a64.0\","
                        + "\"verdict\":\"delivered\",\"level\":1,\"duration-us\":900}"));
    assertEquals(0, exitCode);
    String[] replies = out.toString(StandardCharsets.UTF_8).split("\n", 0);
    assertEquals("{\"output\":[]}", replies[0]);
    assertTrue(
        replies[1].contains(
            "{\"what\":\"Incr\",\"i\":3,\"book\":\"r91f03b7c55d20a64.0\",\"by\":1.0,"
                + "\"keep-for-us\":4000000}"),
        replies[1]);
    assertTrue(
        replies[2].contains(
            "{\"what\":\"Route\",\"i\":3,\"op-id\":7,\"worker\":\"w\","
                + "\"abandon-at-us\":1900000}"),
        replies[2]);
  }

  @Test
  void killedInstance_losesItsState() throws IOException {
    run(
        new SimulatorAdapter(),
        batch(1_000_000, ATTACH, CALL, "{\"what\":\"Killed\",\"i\":3}", ATTACH)
            + batch(2_000_000, "{\"what\":\"Timer\",\"i\":3,\"cookie\":\"end:7\"}"));
    assertEquals("{\"output\":[]}", out.toString(StandardCharsets.UTF_8).split("\n", 0)[1]);
  }

  @Test
  void malformedLine_isReportedWithItsNumber() throws IOException {
    String[][] malformedLines = {
      {"{\"now-us\":", "malformed JSON"},
      {"[]", "not a JSON object"},
      {"{\"happened\":[]}", "'now-us' is missing"},
      {"{\"now-us\":1,\"happened\":[{\"what\":\"Nonsense\",\"i\":1}]}", "unknown event 'Nonsense'"},
      {
        "{\"now-us\":1,\"happened\":[{\"what\":\"Call\",\"i\":1,\"op-id\":2}]}",
        "'class' is missing"
      },
      {"{\"now-us\":1,\"happened\":[7]}", "'happened' holds something other than an object"},
    };
    for (String[] lineAndError : malformedLines) {
      out.reset();
      err.reset();
      int exitCode = run(new SimulatorAdapter(), batch(1) + lineAndError[0] + "\n");
      String message = err.toString(StandardCharsets.UTF_8);
      assertEquals(1, exitCode, lineAndError[0]);
      assertTrue(message.startsWith("line 2: ") && message.contains(lineAndError[1]), message);
      assertEquals(1, message.lines().count(), message);
      assertEquals("{\"output\":[]}\n", out.toString(StandardCharsets.UTF_8));
    }
  }

  @Test
  void exceptionOfThePolicy_becomesAnExceptionAction() throws IOException {
    SimulatorAdapter adapter =
        new SimulatorAdapter(
            settings ->
                (nowMicros, event) -> {
                  throw new IllegalStateException("broken");
                });
    assertEquals(0, run(adapter, batch(1, ATTACH)));
    assertTrue(
        out.toString(StandardCharsets.UTF_8)
            .contains(
                "{\"what\":\"Exception\",\"i\":3,\"text\":"
                    + "\"java.lang.IllegalStateException: broken\"}"));
  }
}
