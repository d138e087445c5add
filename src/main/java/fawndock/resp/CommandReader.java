package fawndock.resp;

import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * Reads RESP commands from a byte stream: arrays of bulk strings, or inline commands. It resumes
 * where it stopped, so that a command that comes byte by byte is not read again from its start, and
 * holds no more of a command than its limits allow. One thread at a time.
 */
public final class CommandReader {
  /**
   * Limits of one command; a command that exceeds them is a protocol error.
   *
   * @param maxCommandBytes bytes of all words
   * @param maxWords words of a command
   * @param maxInlineBytes bytes of an inline command; 0 to reject inline commands and empty arrays
   */
  public record Limits(int maxCommandBytes, int maxWords, int maxInlineBytes) {
    /** Limits of a server that people may type commands to. */
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
  private static final int NO_LENGTH = -1;

  private final Limits limits;

  /** The words of the command that is being read; null between commands. */
  private byte[][] words;

  private int wordCount;

  /** Length of the next word, once it is known. */
  private int wordLength = NO_LENGTH;

  private int commandBytes;

  /** Creates a reader with limits. */
  public CommandReader(Limits limits) {
    this.limits = limits;
  }

  /**
   * Returns the words of the next command, or null while it is incomplete.
   *
   * @throws ProtocolException when the bytes are no command or exceed a limit; the reader must not
   *     be used afterwards
   */
  public byte[][] next(ByteBuf in) throws ProtocolException {
    while (words == null) {
      if (!in.isReadable()) {
        return INCOMPLETE;
      }
      if (in.getByte(in.readerIndex()) == '*') {
        if (!beginArray(in)) {
          return INCOMPLETE;
        }
      } else {
        byte[][] inline = readInline(in);
        if (inline == INCOMPLETE || inline.length > 0) {
          return inline;
        }
      }
    }
    while (wordCount < words.length) {
      if (!readWord(in)) {
        return INCOMPLETE;
      }
    }
    byte[][] command = words;
    words = null;
    return command;
  }

  /** Returns whether a command has begun and is incomplete. */
  public boolean hasPartialCommand() {
    return words != null;
  }

  /** Reads the head of an array; returns false while it is incomplete. */
  private boolean beginArray(ByteBuf in) throws ProtocolException {
    long count = readNumber(in, "invalid multibulk length", limits.maxWords);
    if (count == INCOMPLETE_NUMBER) {
      return false;
    }
    if (count <= 0 && !limits.allowsInline()) {
      throw new ProtocolException("invalid multibulk length");
    }
    if (count > 0) {
      words = new byte[(int) count][];
      wordCount = 0;
      commandBytes = 0;
    }
    return true;
  }

  /** Reads one word of an array; returns false while it is incomplete. */
  private boolean readWord(ByteBuf in) throws ProtocolException {
    if (wordLength == NO_LENGTH && !readWordLength(in)) {
      return false;
    }
    if (in.readableBytes() < wordLength + LINE_END_BYTES) {
      return false;
    }
    byte[] word = new byte[wordLength];
    in.readBytes(word);
    // Without this check the rest of a word with a wrong length would be read as the next word.
    if (in.readByte() != '\r' || in.readByte() != '\n') {
      throw new ProtocolException("expected the end of a bulk string");
    }
    words[wordCount++] = word;
    wordLength = NO_LENGTH;
    return true;
  }

  private boolean readWordLength(ByteBuf in) throws ProtocolException {
    if (!in.isReadable()) {
      return false;
    }
    byte type = in.getByte(in.readerIndex());
    if (type != '$') {
      throw new ProtocolException("expected '$', got '" + (char) type + "'");
    }
    // Checked before memory is allocated for bytes that may never come.
    long length = readNumber(in, "invalid bulk length", limits.maxCommandBytes - commandBytes);
    if (length == INCOMPLETE_NUMBER) {
      return false;
    }
    if (length < 0) {
      throw new ProtocolException("invalid bulk length");
    }
    wordLength = (int) length;
    commandBytes += wordLength;
    return true;
  }

  /**
   * Returns the index of the line end of the line that begins here, or -1 while it has not come.
   *
   * @param error of a line that is too long
   */
  private static int findLineEnd(ByteBuf in, int maxBytes, String error) throws ProtocolException {
    int readable = in.readableBytes();
    int offset = in.bytesBefore(Math.min(readable, maxBytes), (byte) '\n');
    if (offset < 0 && readable >= maxBytes) {
      throw new ProtocolException(error);
    }
    return offset < 0 ? -1 : in.readerIndex() + offset;
  }

  /**
   * Reads the number on a line, after the type byte; {@link #INCOMPLETE_NUMBER} while the line is
   * incomplete.
   *
   * @param error of a line that holds no number, or one above the maximum
   */
  private static long readNumber(ByteBuf in, String error, long max) throws ProtocolException {
    int lineEnd = findLineEnd(in, MAX_NUMBER_LINE_BYTES, error);
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
        throw new ProtocolException(error);
      }
      number = number * 10 + b - '0';
    }
    if (digits == 0 || number > max) {
      throw new ProtocolException(error);
    }
    in.readerIndex(lineEnd + 1);
    return isNegative ? -number : number;
  }

  /** Reads an inline command, which may have no words; null while it is incomplete. */
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

  /** Splits a line at its blanks, other than those in quotes. */
  private static byte[][] splitInline(String line) throws ProtocolException {
    List<byte[]> inlineWords = new ArrayList<>();
    StringBuilder word = null;
    char quote = 0;
    for (char c : (line + " ").toCharArray()) {
      if (quote != 0 && c != quote) {
        word.append(c);
      } else if (quote != 0) {
        quote = 0;
      } else if (c == '"' || c == '\'') {
        quote = c;
        word = word == null ? new StringBuilder() : word;
      } else if (c != ' ' && c != '\t' && c != '\r') {
        word = (word == null ? new StringBuilder() : word).append(c);
      } else if (word != null) {
        inlineWords.add(word.toString().getBytes(StandardCharsets.ISO_8859_1));
        word = null;
      }
    }
    if (quote != 0) {
      throw new ProtocolException("unbalanced quotes in request");
    }
    return inlineWords.toArray(new byte[0][]);
  }
}
