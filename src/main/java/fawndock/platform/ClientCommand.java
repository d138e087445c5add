package fawndock.platform;

import fawndock.resp.ReplyWriter;
import fawndock.runtime.ServerExchange.RequestAttributes;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;

/**
 * A client's valid request command, as parsed by {@link ClientCommandParser}. It is forwarded to
 * endpoints unchanged except for the timeout.
 */
final class ClientCommand {
  private static final int ATTRIBUTES_INDEX = 3;
  private static final int BODY_INDEX = 4;
  private static final String TIMEOUT_PREFIX = PlatformProtocol.FIELD_TIMEOUT_MILLIS + "=";

  /** Estimate of all bytes other than attribute list and body, for the buffer's initial size. */
  private static final int FRAMING_BYTES = 96;

  private final byte[][] arguments;
  private final String attributeList;
  private final String id;
  private final RequestAttributes attributes;

  ClientCommand(byte[][] arguments, String attributeList, String id, RequestAttributes attributes) {
    this.arguments = arguments;
    this.attributeList = attributeList;
    this.id = id;
    this.attributes = attributes;
  }

  RequestAttributes attributes() {
    return attributes;
  }

  /** Returns the request id that the client chose; unique among the requests in flight. */
  String id() {
    return id;
  }

  /** Returns the number of bytes that the command holds in memory while it is in flight. */
  int sizeBytes() {
    return bodyBytes() + attributeList.length();
  }

  private int bodyBytes() {
    return arguments.length > BODY_INDEX ? arguments[BODY_INDEX].length : 0;
  }

  /** Encodes the command for an endpoint, with this timeout instead of the client's. */
  ByteBuf encodeForEndpoint(long timeoutMillis) {
    byte[] attributeBytes = withTimeout(timeoutMillis).getBytes(StandardCharsets.ISO_8859_1);
    ByteBuf out = Unpooled.buffer(FRAMING_BYTES + attributeBytes.length + bodyBytes());
    ReplyWriter writer = new ReplyWriter(out);
    writer.beginArray(arguments.length);
    for (int i = 0; i < arguments.length; i++) {
      writer.bulkString(i == ATTRIBUTES_INDEX ? attributeBytes : arguments[i]);
    }
    return out;
  }

  private String withTimeout(long timeoutMillis) {
    int valueStart =
        attributeList.startsWith(TIMEOUT_PREFIX)
            ? TIMEOUT_PREFIX.length()
            : attributeList.indexOf("," + TIMEOUT_PREFIX) + 1 + TIMEOUT_PREFIX.length();
    int valueEnd = attributeList.indexOf(',', valueStart);
    String remainder = valueEnd < 0 ? "" : attributeList.substring(valueEnd);
    return attributeList.substring(0, valueStart) + timeoutMillis + remainder;
  }
}
