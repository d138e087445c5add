package fawndock.resp;

import java.nio.charset.StandardCharsets;
import java.util.List;

/**
 * A RESP reply.
 *
 * @param type {@code +}, {@code -}, {@code :}, {@code $} or {@code *}
 * @param bytes the content of a line or a bulk string; null for a null bulk string, an array and a
 *     null array
 * @param elements an array's elements; null for a null array and all other types
 */
// The bytes are passed on without being copied, and replies are never compared.
@SuppressWarnings("ArrayRecordComponent")
public record Reply(char type, byte[] bytes, List<Reply> elements) {
  /** Returns the content as text; empty when there is none. */
  public String text() {
    return bytes == null ? "" : new String(bytes, StandardCharsets.UTF_8);
  }

  /** Returns whether this is a bulk string that is not null. */
  public boolean isBulk() {
    return type == '$' && bytes != null;
  }

  /** Returns whether this is an error reply. */
  public boolean isError() {
    return type == '-';
  }
}
