package fawndock.platform;

import fawndock.resp.ReplyWriter;
import fawndock.runtime.ServerExchange.RequestAttributes;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;

/**
 * A valid request command of a client, as {@link ClientCommandParser} reads it. Endpoints get the
 * same command, unchanged but for the timeout.
 */
final class ClientCommand {
  private static final int ATTRIBUTES_INDEX = 3;
  private static final int BODY_INDEX = 4;
  private static final String TIMEOUT_PREFIX = PlatformProtocol.FIELD_TIMEOUT_MILLIS + "=";
  private static final int HEADER_BYTES = 96;

  private final byte[][] words;
  private final String attributeList;
  private final String id;
  private final RequestAttributes attributes;

  ClientCommand(byte[][] words, String attributeList, String id, RequestAttributes attributes) {
    this.words = words;
    this.attributeList = attributeList;
    this.id = id;
    this.attributes = attributes;
  }

  RequestAttributes attributes() {
    return attributes;
  }

  /** Returns the client's id of the request; unique among those in flight. */
  String id() {
    return id;
  }

  /** Returns the bytes that the command holds while it is in flight. */
  int sizeBytes() {
    return bodyBytes() + attributeList.length();
  }

  private int bodyBytes() {
    return words.length > BODY_INDEX ? words[BODY_INDEX].length : 0;
  }

  /** Encodes the command for an endpoint, with this timeout in place of the client's. */
  ByteBuf encodeForEndpoint(long timeoutMillis) {
    byte[] attributeBytes = withTimeout(timeoutMillis).getBytes(StandardCharsets.ISO_8859_1);
    ByteBuf out = Unpooled.buffer(HEADER_BYTES + attributeBytes.length + bodyBytes());
    ReplyWriter writer = new ReplyWriter(out);
    writer.beginArray(words.length);
    for (int i = 0; i < words.length; i++) {
      writer.bulkString(i == ATTRIBUTES_INDEX ? attributeBytes : words[i]);
    }
    return out;
  }

  private String withTimeout(long timeoutMillis) {
    int from =
        attributeList.startsWith(TIMEOUT_PREFIX)
            ? TIMEOUT_PREFIX.length()
            : attributeList.indexOf("," + TIMEOUT_PREFIX) + 1 + TIMEOUT_PREFIX.length();
    int to = attributeList.indexOf(',', from);
    String rest = to < 0 ? "" : attributeList.substring(to);
    return attributeList.substring(0, from) + timeoutMillis + rest;
  }
}
