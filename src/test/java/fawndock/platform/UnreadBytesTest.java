package fawndock.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

/** Tests the buffer of a connection's unread bytes. */
class UnreadBytesTest {
  private static ByteBuf bytes(String text) {
    return Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1);
  }

  @Test
  void bytesThatArriveOneByOne_areKeptInOrderWithLittleSpareMemory() {
    UnreadBytes unread = new UnreadBytes();
    StringBuilder expected = new StringBuilder();
    for (int i = 0; i < 10_000; i++) {
      char c = (char) ('a' + i % 26);
      expected.append(c);
      unread.append(bytes(String.valueOf(c)));
    }
    assertTrue(unread.heldBytes() <= 15_000, () -> unread.heldBytes() + " bytes");
    assertEquals(expected.toString(), unread.take().toString(StandardCharsets.ISO_8859_1));
    assertTrue(unread.isEmpty());
  }

  /** Guards against a buffer that was kept as a whole for a few unread bytes at its end. */
  @Test
  void bytesThatHaveBeenRead_areNotHeld() {
    UnreadBytes unread = new UnreadBytes();
    unread.append(bytes("x".repeat(60_000) + "rest"));
    ByteBuf taken = unread.take();
    taken.skipBytes(60_000);
    unread.set(taken);
    assertEquals(4, unread.heldBytes());
    assertEquals("rest", unread.take().toString(StandardCharsets.ISO_8859_1));
  }
}
