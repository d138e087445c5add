package fawndock.platform;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;

/**
 * Takes JSON objects off a stream of bytes by their brackets, however they are cut, indented or
 * spread over lines. What stands between objects may only be blanks and ends of lines.
 */
final class JsonFramer {
  /** Is told in the order of the bytes. */
  interface Listener {
    /** A whole object. */
    void onObject(String text);

    /** A line ended outside of any object. */
    void onLineEnd();

    /**
     * What stands between objects is none, or one is longer than may be; nothing is told after it.
     */
    void onMalformed(String why);
  }

  private final int longest;
  private final ByteBuf object = Unpooled.buffer(256);
  private int depth;
  private boolean quoted;
  private boolean escaped;
  private boolean ended;

  /** Takes objects of so many bytes at most. */
  JsonFramer(int longest) {
    this.longest = longest;
  }

  /** Uses up all of the bytes. */
  void read(ByteBuf bytes, Listener found) {
    while (bytes.isReadable() && !ended) {
      byte b = bytes.readByte();
      if (depth > 0 || b == '{') {
        object.writeByte(b);
        within(b);
        if (depth == 0) {
          String text = object.toString(StandardCharsets.UTF_8);
          object.clear();
          found.onObject(text);
        } else if (object.readableBytes() > longest) {
          end(found, "an object of more than " + longest + " bytes");
        }
      } else if (b == '\n') {
        found.onLineEnd();
      } else if (b != ' ' && b != '\t' && b != '\r') {
        end(found, "no JSON object");
      }
    }
    bytes.skipBytes(bytes.readableBytes());
  }

  private void within(byte b) {
    if (quoted) {
      quoted = escaped || b != '"';
      escaped = !escaped && b == '\\';
    } else if (b == '"') {
      quoted = true;
    } else if (b == '{' || b == '[') {
      depth++;
    } else if (b == '}' || b == ']') {
      depth--;
    }
  }

  private void end(Listener found, String why) {
    ended = true;
    found.onMalformed(why);
  }

  /** Takes nothing any more. */
  void close() {
    ended = true;
  }
}
