package fawndock;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import fawndock.Gatekeeper.*;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Compiles and runs the example in docs/embedding.md, and keeps the two the same. */
class EmbeddingExampleTest {
  @Test
  void theExampleSendsTheRequest() throws Exception {
    // example
    Settings settings =
        new Settings(
            0,
            2,
            42,
            1_000,
            "here",
            false,
            List.of(
                new RequestClass(
                    "lookup", 500_000, 0, 2_000_000, 1, 0, Repeat.IDEMPOTENT, Group.ALL, 0, false)),
            List.of(new Plan("basic", 2, 8, 0, 1, 0, 1, 0, 0, 0)),
            new Limits(3, 1_000, 1_000_000, false, true, false, false, true),
            new Rules(10_000, 1_000_000, 0.2, 10_000_000, 2, 2_000_000, 10_000_000),
            new Counter(true, 50_000, false));
    Gatekeeper gatekeeper = new Logic(settings);
    long now = 1_000_000;
    gatekeeper.on(
        now,
        new Servers(
            Listing.CACHED,
            List.of(new Server("server-1", "here", 0, Availability.RUNNING, 1, 0))));
    Deque<Action> todo =
        new ArrayDeque<>(
            gatekeeper.on(
                now,
                new Request(1, "lookup", "basic", "customer-1", now + 2_000_000, 1, 2, 0, false)));
    List<Action> others = new ArrayList<>();
    while (!todo.isEmpty()) {
      Action action = todo.poll();
      if (action instanceof Count count) { // ask your counter service, then tell the total:
        todo.addAll(gatekeeper.on(now, new Counted(count.name(), Result.OK, count.amount(), 900)));
      } else {
        others.add(action); // attempts to send, timers to set, answers to give
      }
    }
    // end of example
    assertEquals("server-1", Rig.one(Attempt.class, others).server());
    String page = Files.readString(Path.of("docs/embedding.md"));
    String source = Files.readString(Path.of("src/test/java/fawndock/EmbeddingExampleTest.java"));
    String example =
        source.substring(source.indexOf("// example\n") + 11, source.indexOf("    // end of"));
    assertTrue(
        page.contains(example.indent(-4).strip()), "docs/embedding.md shows another example");
  }
}
