package fawndock.resp;

import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * Takes commands off a stream: arrays of bulk strings, or inline words. It goes on where it stood,
 * so that a command that comes byte by byte is not read again from its start, and holds no more of
 * a command than the limit.
 */
public final class CommandReader {
  /**
   * What is taken of one command; more is no command, and the connection cannot go on.
   *
   * @param maxCommandBytes bytes of all words
   * @param maxWords words of a command
   * @param maxInlineBytes bytes of a command on one line; 0 where there are none, nor empty arrays
   */
  public record Limits(int maxCommandBytes, int maxWords, int maxInlineBytes) {
    /** What a server that people type to takes. */
    public static final Limits SERVER = new Limits(512 << 10, 16_384, 64 << 10);
  }

  private final Limits limits;
  private static final int LONGEST_NUMBER = 32;
  private byte[][] words;
  private int have;
  private int bulk = -1;
  private int bytes;

  /** A reader within limits. */
  public CommandReader(Limits limits) {
    this.limits = limits;
  }

  /** The next whole command, or null when more must come first. */
  public byte[][] next(ByteBuf in) throws ProtocolException {
    while (words == null) {
      if (!in.isReadable()) {
        return null;
      }
      if (in.getByte(in.readerIndex()) != '*') {
        if (limits.maxInlineBytes == 0) {
          throw new ProtocolException("expected '*'");
        }
        int end = line(in, limits.maxInlineBytes, "too big inline request");
        if (end < 0) {
          return null;
        }
        byte[][] inline = inline(in, end);
        if (inline.length > 0) {
          return inline;
        }
        continue;
      }
      long many = number(in, "invalid multibulk length", limits.maxWords);
      if (many == Long.MIN_VALUE) {
        return null;
      }
      if (many <= 0 && limits.maxInlineBytes == 0) {
        throw new ProtocolException("invalid multibulk length");
      }
      if (many > 0) {
        words = new byte[(int) many][];
        have = 0;
        bytes = 0;
      }
    }
    while (have < words.length) {
      if (bulk < 0) {
        if (!in.isReadable()) {
          return null;
        }
        if (in.getByte(in.readerIndex()) != '$') {
          throw new ProtocolException(
              "expected '$', got '" + (char) in.getByte(in.readerIndex()) + "'");
        }
        // Guards against a length that would have memory set aside for what never comes.
        long length = number(in, "invalid bulk length", limits.maxCommandBytes - bytes);
        if (length == Long.MIN_VALUE) {
          return null;
        }
        if (length < 0) {
          throw new ProtocolException("invalid bulk length");
        }
        bulk = (int) length;
        bytes += bulk;
      }
      if (in.readableBytes() < bulk + 2) {
        return null;
      }
      byte[] word = new byte[bulk];
      in.readBytes(word);
      // Guards against a length that is wrong: the rest of the word would be read as the next one.
      if (in.readByte() != '\r' || in.readByte() != '\n') {
        throw new ProtocolException("expected the end of a bulk string");
      }
      words[have++] = word;
      bulk = -1;
    }
    byte[][] whole = words;
    words = null;
    return whole;
  }

  /** Whether a command has begun and not ended. */
  public boolean isWithinCommand() {
    return words != null;
  }

  /** Where the line ends that begins here, or -1 when its end has not come. */
  private static int line(ByteBuf in, int longest, String tooLong) throws ProtocolException {
    int readable = in.readableBytes();
    int at = in.bytesBefore(Math.min(readable, longest), (byte) '\n');
    if (at < 0 && readable >= longest) {
      throw new ProtocolException(tooLong);
    }
    return at < 0 ? -1 : in.readerIndex() + at;
  }

  /** The number on a line after its first byte, or the least long when the line has not ended. */
  private static long number(ByteBuf in, String wrong, long most) throws ProtocolException {
    int end = line(in, LONGEST_NUMBER, wrong);
    if (end < 0) {
      return Long.MIN_VALUE;
    }
    int at = in.readerIndex() + 1;
    int to = end > at && in.getByte(end - 1) == '\r' ? end - 1 : end;
    boolean negative = at < to && in.getByte(at) == '-';
    long number = 0;
    int digits = 0;
    for (int i = negative ? at + 1 : at; i < to; i++) {
      byte b = in.getByte(i);
      if (b < '0' || b > '9' || ++digits > 10) {
        throw new ProtocolException(wrong);
      }
      number = number * 10 + b - '0';
    }
    if (digits == 0 || number > most) {
      throw new ProtocolException(wrong);
    }
    in.readerIndex(end + 1);
    return negative ? -number : number;
  }

  /** Words between blanks; one in quotes may have blanks. */
  private static byte[][] inline(ByteBuf in, int end) throws ProtocolException {
    String text =
        in.toString(in.readerIndex(), end - in.readerIndex(), StandardCharsets.ISO_8859_1);
    in.readerIndex(end + 1);
    List<byte[]> found = new ArrayList<>();
    StringBuilder word = null;
    char quote = 0;
    for (char c : (text + " ").toCharArray()) {
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
        found.add(word.toString().getBytes(StandardCharsets.ISO_8859_1));
        word = null;
      }
    }
    if (quote != 0) {
      throw new ProtocolException("unbalanced quotes in request");
    }
    return found.toArray(new byte[0][]);
  }
}
