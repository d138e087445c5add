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

/** Checks that replies are read however their bytes are split, and buffered within their limits. */
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
  void repliesAreReadHoweverTheBytesAreSplit(@ForAll long seed) throws ProtocolException {
    Random random = new Random(seed);
    StringBuilder stream = new StringBuilder();
    List<String> expected = new ArrayList<>();
    for (int i = 0; i < 20; i++) {
      String reply = REPLIES[random.nextInt(REPLIES.length)];
      stream.append(reply);
      expected.add(
          text(
              new ReplyReader(64, 64, 4)
                  .next(Unpooled.copiedBuffer(reply, StandardCharsets.ISO_8859_1))));
    }
    byte[] bytes = stream.toString().getBytes(StandardCharsets.ISO_8859_1);
    ReplyReader reader = new ReplyReader(64, 64, 4);
    ByteBuf in = Unpooled.buffer();
    List<String> received = new ArrayList<>();
    for (int offset = 0; offset < bytes.length; ) {
      int endOffset = Math.min(bytes.length, offset + 1 + random.nextInt(9));
      in.writeBytes(bytes, offset, endOffset - offset);
      offset = endOffset;
      for (Reply reply = reader.next(in); reply != null; reply = reader.next(in)) {
        received.add(text(reply));
      }
    }
    assertEquals(expected, received);
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
            "buffered bytes: " + in.readableBytes());
      }
    } catch (ProtocolException e) {
      // The reader rejects malformed bytes as soon as it reads them.
    }
  }

  @Property(tries = 500)
  void commands_areBufferedWithinTheLimit(@ForAll byte[] noise, @ForAll long seed) {
    CommandReader reader = new CommandReader(new CommandReader.Limits(200, 8, 0));
    ByteBuf in = Unpooled.buffer();
    Random random = new Random(seed);
    String[] commandPrefixes = {
      "*4\r\n", "$150\r\n", "$200\r\n", "$60000000\r\n", "*8\r\n$1\r\n", "*1\r\n$190\r\n"
    };
    try {
      for (int i = 0; i < 400; i++) {
        in.writeCharSequence(
            commandPrefixes[random.nextInt(commandPrefixes.length)], StandardCharsets.US_ASCII);
        in.writeBytes(noise);
        for (byte[][] arguments = reader.next(in); arguments != null; arguments = reader.next(in)) {
          assertTrue(
              java.util.Arrays.stream(arguments).mapToInt(argument -> argument.length).sum()
                  <= 200);
        }
        in.discardReadBytes();
        assertTrue(
            in.readableBytes() <= 200 + noise.length + 64, "buffered bytes: " + in.readableBytes());
      }
    } catch (ProtocolException e) {
      // The reader rejects malformed bytes as soon as it reads them.
    }
  }

  @Example
  void invalidLengths_areRejectedBeforeTheirBytesCome() {
    for (String invalidReply :
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
                  .next(Unpooled.copiedBuffer(invalidReply, StandardCharsets.ISO_8859_1)),
          invalidReply);
    }
  }

  @Example
  void partialReply_staysInTheBuffer() throws ProtocolException {
    ByteBuf in = Unpooled.copiedBuffer("*2\r\n$2\r\nhi\r\n$5\r\nab", StandardCharsets.ISO_8859_1);
    assertNull(new ReplyReader(64, 64, 4).next(in));
    assertEquals(0, in.readerIndex());
  }
}
