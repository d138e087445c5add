package fawndock.resp;

import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;

/** Writes replies and commands in RESP version 2 or 3 to a buffer. Not thread-safe. */
public final class ReplyWriter {
  private final ByteBuf out;

  /** The protocol version that is written: 2 or 3. */
  public int version = 2;

  /** Creates a writer that appends to this buffer. */
  public ReplyWriter(ByteBuf out) {
    this.out = out;
  }

  private void writeHeader(char type, long number) {
    out.writeByte(type);
    writeDecimal(number);
    out.writeByte('\r').writeByte('\n');
  }

  private void writeDecimal(long number) {
    if (number >= 0 && number < 10) {
      out.writeByte('0' + (int) number);
    } else {
      out.writeCharSequence(Long.toString(number), StandardCharsets.US_ASCII);
    }
  }

  private void writeLine(char type, String text) {
    out.writeByte(type);
    // A line break in echoed text would end the reply early.
    out.writeCharSequence(text.replace('\r', ' ').replace('\n', ' '), StandardCharsets.UTF_8);
    out.writeByte('\r').writeByte('\n');
  }

  /** Writes a simple string. */
  public void simpleString(String text) {
    writeLine('+', text);
  }

  /** Writes the simple string OK. */
  public void ok() {
    simpleString("OK");
  }

  /** Writes an error; the text starts with the error code. */
  public void error(String text) {
    writeLine('-', text);
  }

  /** Writes an integer. */
  public void integer(long number) {
    writeHeader(':', number);
  }

  /** Writes a boolean as the integer 1 or 0. */
  public void booleanAsInteger(boolean value) {
    integer(value ? 1 : 0);
  }

  /** Writes a bulk string. */
  public void bulkString(byte[] bytes) {
    writeHeader('$', bytes.length);
    out.writeBytes(bytes).writeByte('\r').writeByte('\n');
  }

  /** Writes a bulk string in UTF-8. */
  public void bulkString(String text) {
    bulkString(text.getBytes(StandardCharsets.UTF_8));
  }

  /** Writes the null value. */
  public void nullValue() {
    out.writeCharSequence(version == 3 ? "_\r\n" : "$-1\r\n", StandardCharsets.US_ASCII);
  }

  /** Writes the header of an array; the caller writes the elements next. */
  public void beginArray(int elementCount) {
    writeHeader('*', elementCount);
  }

  /**
   * Writes the header of a map with this many pairs, which version 2 represents as an array with
   * twice as many elements; the caller writes the keys and values next.
   */
  public void beginMap(int pairCount) {
    writeHeader(version == 3 ? '%' : '*', version == 3 ? pairCount : 2L * pairCount);
  }
}
