package fawndock.resp;

import io.netty.buffer.ByteBuf;
import java.util.ArrayList;
import java.util.List;

/**
 * Takes replies off a stream. What is not whole yet is left in the buffer and looked at again when
 * more has come: only lines and lengths are, never the inside of a bulk string. Holds nothing
 * itself; the buffer that it reads needs to take {@link #most()} bytes at most.
 */
public final class ReplyReader {
  private static final int LONGEST_NUMBER = 20;
  private final int maxBulkBytes;
  private final int maxLineBytes;
  private final int maxElements;

  /**
   * A reader within limits.
   *
   * @param longestBulk bytes of a bulk string
   * @param longestLine bytes of a line
   * @param mostParts elements of an array; arrays in arrays are not taken
   */
  public ReplyReader(int longestBulk, int longestLine, int mostParts) {
    this.maxBulkBytes = longestBulk;
    this.maxLineBytes = longestLine;
    this.maxElements = mostParts;
  }

  /** Bytes that one reply takes at most. */
  public int maxReplyBytes() {
    return LONGEST_NUMBER
        + Math.max(1, maxElements) * (Math.max(maxBulkBytes + LONGEST_NUMBER, maxLineBytes) + 4);
  }

  /**
   * The next whole reply, or null when more must come first; the buffer then stands where it stood.
   */
  public Reply next(ByteBuf in) throws ProtocolException {
    int from = in.readerIndex();
    Reply whole = read(in, true);
    if (whole == null) {
      in.readerIndex(from);
    }
    return whole;
  }

  private Reply read(ByteBuf in, boolean outer) throws ProtocolException {
    if (!in.isReadable()) {
      return null;
    }
    char type = (char) in.readByte();
    switch (type) {
      case '+', '-', ':' -> {
        byte[] line = line(in, maxLineBytes);
        if (line != null && type == ':') {
          number(line, Long.MIN_VALUE, Long.MAX_VALUE);
        }
        return line == null ? null : new Reply(type, line, null);
      }
      case '$' -> {
        return bulk(in);
      }
      case '*' -> {
        if (outer) {
          return array(in);
        }
        throw new ProtocolException("an array in an array");
      }
      default -> throw new ProtocolException("no reply begins so");
    }
  }

  private Reply bulk(ByteBuf in) throws ProtocolException {
    byte[] line = line(in, LONGEST_NUMBER);
    if (line == null) {
      return null;
    }
    int length = (int) number(line, -1, maxBulkBytes);
    if (length < 0) {
      return new Reply('$', null, null);
    }
    if (in.readableBytes() < length + 2) {
      // Guards against waiting for an end that is there and does not fit.
      if (in.readableBytes() > length && in.getByte(in.readerIndex() + length) != '\r') {
        throw new ProtocolException("a length that does not fit");
      }
      return null;
    }
    byte[] bytes = new byte[length];
    in.readBytes(bytes);
    if (in.readByte() != '\r' || in.readByte() != '\n') {
      throw new ProtocolException("a length that does not fit");
    }
    return new Reply('$', bytes, null);
  }

  private Reply array(ByteBuf in) throws ProtocolException {
    byte[] line = line(in, LONGEST_NUMBER);
    if (line == null) {
      return null;
    }
    int many = (int) number(line, -1, maxElements);
    if (many < 0) {
      return new Reply('*', null, null);
    }
    List<Reply> parts = new ArrayList<>(many);
    for (int i = 0; i < many; i++) {
      Reply part = read(in, false);
      if (part == null) {
        return null;
      }
      parts.add(part);
    }
    return new Reply('*', null, parts);
  }

  /** The bytes up to the end of the line, or null when it has not come. */
  private static byte[] line(ByteBuf in, int longest) throws ProtocolException {
    int length = in.bytesBefore(Math.min(in.readableBytes(), longest + 2), (byte) '\n');
    if (length < 0) {
      if (in.readableBytes() >= longest + 2) {
        throw new ProtocolException("a line without end");
      }
      return null;
    }
    if (length == 0 || in.getByte(in.readerIndex() + length - 1) != '\r') {
      throw new ProtocolException("a line that ends wrongly");
    }
    byte[] line = new byte[length - 1];
    in.readBytes(line).skipBytes(2);
    return line;
  }

  private static long number(byte[] line, long least, long most) throws ProtocolException {
    try {
      long number = Long.parseLong(new String(line, java.nio.charset.StandardCharsets.ISO_8859_1));
      if (number >= least && number <= most) {
        return number;
      }
    } catch (NumberFormatException e) {
      // Told below.
    }
    throw new ProtocolException("a number that is none, or beyond what is taken");
  }
}
