package fawndock.platform;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;

/**
 * Splits a byte stream into JSON objects by matching brackets, independent of chunk boundaries,
 * indentation and line breaks. Only whitespace may separate objects. Confined to one event loop.
 */
final class JsonFramer {
  /** Receives the parts of the stream in order. */
  interface Listener {
    /** Called with each complete object. */
    void onObject(String json);

    /** Called at each line end outside of any object. */
    void onLineEnd();

    /**
     * Called when the stream is malformed or an object is too long; no method is called afterwards.
     */
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

  /** Consumes all of the bytes. */
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

  /** Stops reading. The listener is not called afterwards. Idempotent. */
  void close() {
    isClosed = true;
  }
}
