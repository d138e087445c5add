package fawndock.platform;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;

/**
 * Splits a byte stream into JSON objects by their brackets, however the bytes are cut, indented or
 * spread over lines. Between objects only blanks and line ends may stand. Confined to one event
 * loop.
 */
final class JsonFramer {
  /** Is called in the order of the bytes. */
  interface Listener {
    /** A complete object has come. */
    void onObject(String json);

    /** A line has ended outside of any object. */
    void onLineEnd();

    /** The stream is malformed, or an object is too long; nothing is called after it. */
    void onMalformed(String reason);
  }

  private final int maxObjectBytes;
  private final ByteBuf objectBytes = Unpooled.buffer(256);
  private int depth;
  private boolean isInString;
  private boolean isEscaped;
  private boolean isClosed;

  JsonFramer(int maxObjectBytes) {
    this.maxObjectBytes = maxObjectBytes;
  }

  /** Reads all of the bytes. */
  void read(ByteBuf bytes, Listener listener) {
    while (bytes.isReadable() && !isClosed) {
      byte b = bytes.readByte();
      if (depth > 0 || b == '{') {
        readObjectByte(b, listener);
      } else if (b == '\n') {
        listener.onLineEnd();
      } else if (b != ' ' && b != '\t' && b != '\r') {
        fail(listener, "no JSON object");
      }
    }
    bytes.skipBytes(bytes.readableBytes());
  }

  private void readObjectByte(byte b, Listener listener) {
    objectBytes.writeByte(b);
    updateDepth(b);
    if (depth == 0) {
      String json = objectBytes.toString(StandardCharsets.UTF_8);
      objectBytes.clear();
      listener.onObject(json);
    } else if (objectBytes.readableBytes() > maxObjectBytes) {
      fail(listener, "an object of more than " + maxObjectBytes + " bytes");
    }
  }

  private void updateDepth(byte b) {
    if (isInString) {
      isInString = isEscaped || b != '"';
      isEscaped = !isEscaped && b == '\\';
    } else if (b == '"') {
      isInString = true;
    } else if (b == '{' || b == '[') {
      depth++;
    } else if (b == '}' || b == ']') {
      depth--;
    }
  }

  private void fail(Listener listener, String reason) {
    isClosed = true;
    listener.onMalformed(reason);
  }

  /** Stops reading; the listener is not called any more. Idempotent. */
  void close() {
    isClosed = true;
  }
}
