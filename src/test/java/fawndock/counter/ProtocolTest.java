package fawndock.counter;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;

import fawndock.resp.CommandReader;
import fawndock.resp.ProtocolException;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/** Tests the parser of the Redis serialization protocol and the glob patterns. */
class ProtocolTest {
  /** A stream of commands yields the same commands however it is split into reads. */
  @Property(tries = 300, seed = "15")
  void commands_splitAtAnyPosition_areParsedEqually(@ForAll long seed) throws ProtocolException {
    SplittableRandom random = new SplittableRandom(seed);
    List<String> sent = new ArrayList<>();
    StringBuilder stream = new StringBuilder();
    for (int i = 0; i < 20; i++) {
      List<String> words = new ArrayList<>();
      for (int w = 1 + random.nextInt(4); w > 0; w--) {
        words.add("$*\r\nw:-1".substring(0, 1 + random.nextInt(7)) + random.nextInt(100));
      }
      sent.add(words.toString());
      stream.append('*').append(words.size()).append("\r\n");
      words.forEach(
          w -> stream.append('$').append(w.length()).append("\r\n").append(w).append("\r\n"));
    }
    CommandReader reader = new CommandReader(CommandReader.Limits.SERVER);
    ByteBuf input = Unpooled.buffer();
    List<String> parsed = new ArrayList<>();
    byte[] bytes = stream.toString().getBytes(StandardCharsets.ISO_8859_1);
    for (int offset = 0; offset < bytes.length; ) {
      int end = Math.min(bytes.length, offset + 1 + random.nextInt(30));
      input.writeBytes(bytes, offset, end - offset);
      offset = end;
      for (byte[][] words = reader.next(input); words != null; words = reader.next(input)) {
        parsed.add(
            Arrays.stream(words)
                .map(w -> new String(w, StandardCharsets.ISO_8859_1))
                .toList()
                .toString());
      }
    }
    assertEquals(sent, parsed);
  }

  private static byte[][] read(String text) throws ProtocolException {
    return new CommandReader(CommandReader.Limits.SERVER)
        .next(Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1));
  }

  @Example
  void inlineCommands_withQuotedWords_areParsed() throws ProtocolException {
    assertArrayEquals(
        new String[] {"SET", "a b", "", "1"},
        Arrays.stream(read("\r\n SET 'a b' \"\"  1\r\n"))
            .map(w -> new String(w, StandardCharsets.ISO_8859_1))
            .toArray());
    assertNull(read("PING"));
  }

  @Example
  void malformedCommands_areRejected() {
    for (String[] example :
        new String[][] {
          {"*1\r\n+x\r\n", "expected '$', got '+'"},
          {"*-x\r\n", "invalid multibulk length"},
          {"*99999999\r\n", "invalid multibulk length"},
          {"*1\r\n$-1\r\n", "invalid bulk length"},
          {"*1\r\n$999999999999\r\n", "invalid bulk length"},
          {"*" + "1".repeat(40), "invalid multibulk length"},
          {"x".repeat(70_000), "too big inline request"},
          {"GET \"a\r\n", "unbalanced quotes in request"}
        }) {
      assertEquals(
          "ERR Protocol error: " + example[1],
          assertThrows(ProtocolException.class, () -> read(example[0])).getMessage());
    }
  }

  @Example
  void globPatterns_matchOnlyWholeNames() {
    String[][] matching = {
      {"*", ""},
      {"a*c", "abbc"},
      {"a?c", "abc"},
      {"[a-c]x", "bx"},
      {"[^a]x", "bx"},
      {"a\\*", "a*"},
      {"*a*b", "xaayb"},
      {"[]", "x"}
    };
    String[][] nonMatching = {
      {"a*c", "abb"}, {"a?c", "ac"}, {"[^a]x", "ax"}, {"a\\*", "ab"}, {"", "a"}
    };
    for (String[] example : matching) {
      assertEquals(!example[0].equals("[]"), matches(example), example[0]);
    }
    for (String[] example : nonMatching) {
      assertEquals(false, matches(example), example[0]);
    }
  }

  private static boolean matches(String[] example) {
    return GlobPattern.matches(
        example[0].getBytes(StandardCharsets.UTF_8), example[1].getBytes(StandardCharsets.UTF_8));
  }
}
