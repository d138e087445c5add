package fawndock.resp;

import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * Reads RESP2 replies from a byte stream. An incomplete reply stays in the buffer and is parsed
 * again when more bytes have arrived; only its lines and lengths are parsed again, because the
 * content of a bulk string is never scanned. Immutable and thread-safe.
 */
public final class ReplyReader {
  /** Maximum bytes of a length or an element count. */
  private static final int MAX_NUMBER_BYTES = 20;

  private static final int LINE_END_BYTES = 2;
  private final int maxBulkBytes;
  private final int maxLineBytes;
  private final int maxElements;

  /**
   * Creates a reader with limits.
   *
   * @param maxBulkBytes maximum bytes of a bulk string
   * @param maxLineBytes maximum bytes of a line
   * @param maxElements maximum elements of an array; nested arrays are rejected
   */
  public ReplyReader(int maxBulkBytes, int maxLineBytes, int maxElements) {
    this.maxBulkBytes = maxBulkBytes;
    this.maxLineBytes = maxLineBytes;
    this.maxElements = maxElements;
  }

  /** Returns the maximum bytes of one reply; the buffer never has to hold more. */
  public int maxReplyBytes() {
    int maxElementBytes = Math.max(maxBulkBytes + MAX_NUMBER_BYTES, maxLineBytes) + 4;
    return MAX_NUMBER_BYTES + Math.max(1, maxElements) * maxElementBytes;
  }

  /**
   * Reads the next reply; returns null, and leaves the buffer as it was, while it is incomplete.
   *
   * @throws ProtocolException when the bytes are not a reply or exceed a limit
   */
  public Reply next(ByteBuf in) throws ProtocolException {
    int start = in.readerIndex();
    Reply reply = read(in, true);
    if (reply == null) {
      in.readerIndex(start);
    }
    return reply;
  }

  private Reply read(ByteBuf in, boolean mayBeArray) throws ProtocolException {
    if (!in.isReadable()) {
      return null;
    }
    char type = (char) in.readByte();
    switch (type) {
      case '+', '-', ':' -> {
        return readLineReply(in, type);
      }
      case '$' -> {
        return readBulk(in);
      }
      case '*' -> {
        if (mayBeArray) {
          return readArray(in);
        }
        throw new ProtocolException("nested array");
      }
      default -> throw new ProtocolException("unknown reply type");
    }
  }

  private Reply readLineReply(ByteBuf in, char type) throws ProtocolException {
    byte[] line = readLine(in, maxLineBytes);
    if (line != null && type == ':') {
      parseNumber(line, Long.MIN_VALUE, Long.MAX_VALUE);
    }
    return line == null ? null : new Reply(type, line, null);
  }

  private Reply readBulk(ByteBuf in) throws ProtocolException {
    byte[] line = readLine(in, MAX_NUMBER_BYTES);
    if (line == null) {
      return null;
    }
    int length = (int) parseNumber(line, -1, maxBulkBytes);
    if (length < 0) {
      return new Reply('$', null, null);
    }
    if (in.readableBytes() < length + LINE_END_BYTES) {
      // Without this check a length that is too small would make the reader wait for the end of a
      // string whose end has already arrived.
      if (in.readableBytes() > length && in.getByte(in.readerIndex() + length) != '\r') {
        throw new ProtocolException("bulk string longer than its length");
      }
      return null;
    }
    byte[] bytes = new byte[length];
    in.readBytes(bytes);
    if (in.readByte() != '\r' || in.readByte() != '\n') {
      throw new ProtocolException("bulk string longer than its length");
    }
    return new Reply('$', bytes, null);
  }

  private Reply readArray(ByteBuf in) throws ProtocolException {
    byte[] line = readLine(in, MAX_NUMBER_BYTES);
    if (line == null) {
      return null;
    }
    int count = (int) parseNumber(line, -1, maxElements);
    if (count < 0) {
      return new Reply('*', null, null);
    }
    List<Reply> elements = new ArrayList<>(count);
    for (int i = 0; i < count; i++) {
      Reply element = read(in, false);
      if (element == null) {
        return null;
      }
      elements.add(element);
    }
    return new Reply('*', null, elements);
  }

  /** Reads a line without its CR LF; returns null while the line is incomplete. */
  private static byte[] readLine(ByteBuf in, int maxBytes) throws ProtocolException {
    int searchedBytes = Math.min(in.readableBytes(), maxBytes + LINE_END_BYTES);
    int length = in.bytesBefore(searchedBytes, (byte) '\n');
    if (length < 0) {
      if (in.readableBytes() >= maxBytes + LINE_END_BYTES) {
        throw new ProtocolException("line of more than " + maxBytes + " bytes");
      }
      return null;
    }
    if (length == 0 || in.getByte(in.readerIndex() + length - 1) != '\r') {
      throw new ProtocolException("line that does not end with CR LF");
    }
    byte[] line = new byte[length - 1];
    in.readBytes(line).skipBytes(LINE_END_BYTES);
    return line;
  }

  private static long parseNumber(byte[] line, long min, long max) throws ProtocolException {
    try {
      long number = Long.parseLong(new String(line, StandardCharsets.ISO_8859_1));
      if (number >= min && number <= max) {
        return number;
      }
    } catch (NumberFormatException e) {
      // The exception below reports this case as well as numbers out of range.
    }
    throw new ProtocolException("invalid number or number out of range");
  }
}
