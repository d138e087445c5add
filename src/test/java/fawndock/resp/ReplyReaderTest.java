package fawndock.resp;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/** Replies are the same however their bytes are cut, and none takes more than its limit. */
class ReplyReaderTest {
  private static final String[] REPLIES = {
    "+PONG\r\n",
    "-ERR failed inflight=7\r\n",
    ":12\r\n",
    "$0\r\n\r\n",
    "$-1\r\n",
    "$5\r\na\r\nb\r\r\n",
    "*3\r\n$2\r\nhi\r\n$-1\r\n$7\r\nqueue=2\r\n",
    "*-1\r\n",
    "*0\r\n"
  };

  private static String text(Reply reply) {
    return reply.type()
        + reply.text()
        + (reply.elements() == null
            ? ""
            : reply.elements().stream().map(ReplyReaderTest::text).toList());
  }

  @Property(tries = 200)
  void repliesAreReadHoweverTheBytesAreCut(@ForAll long seed) throws ProtocolException {
    Random random = new Random(seed);
    StringBuilder all = new StringBuilder();
    List<String> sent = new ArrayList<>();
    for (int i = 0; i < 20; i++) {
      String each = REPLIES[random.nextInt(REPLIES.length)];
      all.append(each);
      sent.add(
          text(
              new ReplyReader(64, 64, 4)
                  .next(Unpooled.copiedBuffer(each, StandardCharsets.ISO_8859_1))));
    }
    byte[] bytes = all.toString().getBytes(StandardCharsets.ISO_8859_1);
    ReplyReader reader = new ReplyReader(64, 64, 4);
    ByteBuf in = Unpooled.buffer();
    List<String> got = new ArrayList<>();
    for (int at = 0; at < bytes.length; ) {
      int to = Math.min(bytes.length, at + 1 + random.nextInt(9));
      in.writeBytes(bytes, at, to - at);
      at = to;
      for (Reply reply = reader.next(in); reply != null; reply = reader.next(in)) {
        got.add(text(reply));
      }
    }
    assertEquals(sent, got);
  }

  @Property(tries = 500)
  void malformedReplies_areBufferedWithinTheLimit(@ForAll byte[] noise, @ForAll long seed) {
    ReplyReader reader = new ReplyReader(64, 64, 4);
    ByteBuf in = Unpooled.buffer();
    Random random = new Random(seed);
    try {
      for (int i = 0; i < 400; i++) {
        in.writeBytes(noise).writeByte(random.nextInt(256));
        while (reader.next(in) != null) {
          in.discardReadBytes();
        }
        assertTrue(
            in.readableBytes() <= reader.maxReplyBytes() + noise.length + 1,
            "kept " + in.readableBytes());
      }
    } catch (ProtocolException e) {
      // Rejected as soon as it was seen.
    }
  }

  @Property(tries = 500)
  void commands_areBufferedWithinTheLimit(@ForAll byte[] noise, @ForAll long seed) {
    CommandReader reader = new CommandReader(new CommandReader.Limits(200, 8, 0));
    ByteBuf in = Unpooled.buffer();
    Random random = new Random(seed);
    String[] begins = {
      "*4\r\n", "$150\r\n", "$200\r\n", "$60000000\r\n", "*8\r\n$1\r\n", "*1\r\n$190\r\n"
    };
    try {
      for (int i = 0; i < 400; i++) {
        in.writeCharSequence(begins[random.nextInt(begins.length)], StandardCharsets.US_ASCII);
        in.writeBytes(noise);
        for (byte[][] words = reader.next(in); words != null; words = reader.next(in)) {
          assertTrue(java.util.Arrays.stream(words).mapToInt(w -> w.length).sum() <= 200);
        }
        in.discardReadBytes();
        assertTrue(in.readableBytes() <= 200 + noise.length + 64, "kept " + in.readableBytes());
      }
    } catch (ProtocolException e) {
      // Rejected as soon as it was seen.
    }
  }

  @Example
  void invalidLengths_areRejectedBeforeTheirBytesCome() {
    for (String each :
        new String[] {
          "$3000000000\r\n",
          "$65\r\n",
          "$-2\r\n",
          "*5\r\n",
          "*-7\r\n",
          "$x\r\n",
          ":1x\r\n",
          "hello",
          "+" + "x".repeat(70),
          "*1\r\n*1\r\n",
          "$2\r\nabc\r\n",
          "$1\r\nabc",
          "+bare\n"
        }) {
      assertThrows(
          ProtocolException.class,
          () ->
              new ReplyReader(64, 64, 4)
                  .next(Unpooled.copiedBuffer(each, StandardCharsets.ISO_8859_1)),
          each);
    }
  }

  @Example
  void partialReply_staysInTheBuffer() throws ProtocolException {
    ByteBuf in = Unpooled.copiedBuffer("*2\r\n$2\r\nhi\r\n$5\r\nab", StandardCharsets.ISO_8859_1);
    assertNull(new ReplyReader(64, 64, 4).next(in));
    assertEquals(0, in.readerIndex());
  }
}
