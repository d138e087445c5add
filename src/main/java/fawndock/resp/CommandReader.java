package fawndock.resp;

import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * Reads RESP commands, which are arrays of bulk strings or inline commands, from a byte stream. The
 * command name counts as the first argument. The reader keeps its position within an incomplete
 * command, so that a command that arrives byte by byte is not parsed again from its start, and
 * holds no more of a command than its limits allow. Not thread-safe.
 */
public final class CommandReader {
  /**
   * Limits of one command; a command that exceeds them is a protocol error.
   *
   * @param maxCommandBytes maximum bytes of all arguments together
   * @param maxArguments maximum number of arguments
   * @param maxInlineBytes maximum bytes of an inline command; 0 rejects inline commands and empty
   *     arrays
   */
  public record Limits(int maxCommandBytes, int maxArguments, int maxInlineBytes) {
    /** Limits of a server that also accepts commands typed by people. */
    public static final Limits SERVER = new Limits(512 << 10, 16_384, 64 << 10);

    private boolean allowsInline() {
      return maxInlineBytes > 0;
    }
  }

  private static final int MAX_NUMBER_LINE_BYTES = 32;
  private static final int MAX_DIGITS = 10;
  private static final int LINE_END_BYTES = 2;
  private static final byte[][] INCOMPLETE = null;
  private static final long INCOMPLETE_NUMBER = Long.MIN_VALUE;
  private static final int UNKNOWN_LENGTH = -1;

  /** Memory of an array beside its elements. */
  private static final int ARRAY_HEADER_BYTES = 24;

  private static final int REFERENCE_BYTES = 4;

  private final Limits limits;

  /** The arguments of the command that is being read; null between commands. */
  private byte[][] arguments;

  private int argumentCount;

  /** Length of the next argument, or {@link #UNKNOWN_LENGTH}. */
  private int argumentLength = UNKNOWN_LENGTH;

  /** Length of all arguments whose length has been read. */
  private int commandBytes;

  /** Length of the arguments that have been read. */
  private int argumentBytes;

  /** Creates a reader with limits. */
  public CommandReader(Limits limits) {
    this.limits = limits;
  }

  /**
   * Returns the arguments of the next command, or null while it is incomplete.
   *
   * @throws ProtocolException when the bytes are not a command or exceed a limit; the reader must
   *     not be used afterwards
   */
  public byte[][] next(ByteBuf in) throws ProtocolException {
    while (arguments == null) {
      if (!in.isReadable()) {
        return INCOMPLETE;
      }
      if (in.getByte(in.readerIndex()) == '*') {
        if (!beginArray(in)) {
          return INCOMPLETE;
        }
      } else {
        byte[][] inlineArguments = readInline(in);
        if (inlineArguments == INCOMPLETE || inlineArguments.length > 0) {
          return inlineArguments;
        }
      }
    }
    while (argumentCount < arguments.length) {
      if (!readArgument(in)) {
        return INCOMPLETE;
      }
    }
    byte[][] command = arguments;
    arguments = null;
    return command;
  }

  /** Returns whether a command has been read in part. */
  public boolean hasPartialCommand() {
    return arguments != null;
  }

  /** Returns the memory of the command that has been read in part, in bytes; 0 between commands. */
  public long partialCommandBytes() {
    return arguments == null
        ? 0
        : argumentBytes
            + (long) argumentCount * ARRAY_HEADER_BYTES
            + (long) arguments.length * REFERENCE_BYTES;
  }

  /** Drops the command that has been read in part; the reader must not be used afterwards. */
  public void close() {
    arguments = null;
  }

  /** Reads the header of an array; returns false while it is incomplete. */
  private boolean beginArray(ByteBuf in) throws ProtocolException {
    long count = readNumber(in, "invalid multibulk length", limits.maxArguments);
    if (count == INCOMPLETE_NUMBER) {
      return false;
    }
    if (count <= 0 && !limits.allowsInline()) {
      throw new ProtocolException("invalid multibulk length");
    }
    if (count > 0) {
      arguments = new byte[(int) count][];
      argumentCount = 0;
      commandBytes = 0;
      argumentBytes = 0;
    }
    return true;
  }

  /** Reads one argument of an array; returns false while it is incomplete. */
  private boolean readArgument(ByteBuf in) throws ProtocolException {
    if (argumentLength == UNKNOWN_LENGTH && !readArgumentLength(in)) {
      return false;
    }
    if (in.readableBytes() < argumentLength + LINE_END_BYTES) {
      return false;
    }
    byte[] argument = new byte[argumentLength];
    in.readBytes(argument);
    // Without this check the rest of an argument with a wrong length would be read as the next one.
    if (in.readByte() != '\r' || in.readByte() != '\n') {
      throw new ProtocolException("expected the end of a bulk string");
    }
    arguments[argumentCount++] = argument;
    argumentBytes += argument.length;
    argumentLength = UNKNOWN_LENGTH;
    return true;
  }

  private boolean readArgumentLength(ByteBuf in) throws ProtocolException {
    if (!in.isReadable()) {
      return false;
    }
    byte type = in.getByte(in.readerIndex());
    if (type != '$') {
      throw new ProtocolException("expected '$', got '" + (char) type + "'");
    }
    // The length is checked before memory is allocated for bytes that may never arrive.
    long length = readNumber(in, "invalid bulk length", limits.maxCommandBytes - commandBytes);
    if (length == INCOMPLETE_NUMBER) {
      return false;
    }
    if (length < 0) {
      throw new ProtocolException("invalid bulk length");
    }
    argumentLength = (int) length;
    commandBytes += argumentLength;
    return true;
  }

  /**
   * Returns the index of the line feed that ends the current line, or -1 while it has not arrived.
   *
   * @param errorMessage message for a line that is too long
   */
  private static int findLineEnd(ByteBuf in, int maxBytes, String errorMessage)
      throws ProtocolException {
    int readable = in.readableBytes();
    int offset = in.bytesBefore(Math.min(readable, maxBytes), (byte) '\n');
    if (offset < 0 && readable >= maxBytes) {
      throw new ProtocolException(errorMessage);
    }
    return offset < 0 ? -1 : in.readerIndex() + offset;
  }

  /**
   * Reads the number on a line, after the type byte; returns {@link #INCOMPLETE_NUMBER} while the
   * line is incomplete.
   *
   * @param errorMessage message for a line that contains no number or a number above the maximum
   */
  private static long readNumber(ByteBuf in, String errorMessage, long max)
      throws ProtocolException {
    int lineEnd = findLineEnd(in, MAX_NUMBER_LINE_BYTES, errorMessage);
    if (lineEnd < 0) {
      return INCOMPLETE_NUMBER;
    }
    int start = in.readerIndex() + 1;
    int end = lineEnd > start && in.getByte(lineEnd - 1) == '\r' ? lineEnd - 1 : lineEnd;
    boolean isNegative = start < end && in.getByte(start) == '-';
    long number = 0;
    int digits = 0;
    for (int i = isNegative ? start + 1 : start; i < end; i++) {
      byte b = in.getByte(i);
      if (b < '0' || b > '9' || ++digits > MAX_DIGITS) {
        throw new ProtocolException(errorMessage);
      }
      number = number * 10 + b - '0';
    }
    if (digits == 0 || number > max) {
      throw new ProtocolException(errorMessage);
    }
    in.readerIndex(lineEnd + 1);
    return isNegative ? -number : number;
  }

  /** Reads an inline command, which may have no arguments; returns null while it is incomplete. */
  private byte[][] readInline(ByteBuf in) throws ProtocolException {
    if (!limits.allowsInline()) {
      throw new ProtocolException("expected '*'");
    }
    int lineEnd = findLineEnd(in, limits.maxInlineBytes, "too big inline request");
    if (lineEnd < 0) {
      return INCOMPLETE;
    }
    int length = lineEnd - in.readerIndex();
    String line = in.toString(in.readerIndex(), length, StandardCharsets.ISO_8859_1);
    in.readerIndex(lineEnd + 1);
    return splitInline(line);
  }

  /** Splits a line at blanks outside quotes. */
  private static byte[][] splitInline(String line) throws ProtocolException {
    List<byte[]> inlineArguments = new ArrayList<>();
    StringBuilder argument = null;
    char quote = 0;
    for (char c : (line + " ").toCharArray()) {
      if (quote != 0 && c != quote) {
        argument.append(c);
      } else if (quote != 0) {
        quote = 0;
      } else if (c == '"' || c == '\'') {
        quote = c;
        argument = argument == null ? new StringBuilder() : argument;
      } else if (c != ' ' && c != '\t' && c != '\r') {
        argument = (argument == null ? new StringBuilder() : argument).append(c);
      } else if (argument != null) {
        inlineArguments.add(argument.toString().getBytes(StandardCharsets.ISO_8859_1));
        argument = null;
      }
    }
    if (quote != 0) {
      throw new ProtocolException("unbalanced quotes in request");
    }
    return inlineArguments.toArray(new byte[0][]);
  }
}
