package fawndock.resp;

import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;

/** Writes replies and commands in RESP version 2 or 3 to a buffer. One thread at a time. */
public final class ReplyWriter {
  private final ByteBuf out;

  /** The protocol version that is written: 2 or 3. */
  public int version = 2;

  /** Appends to this buffer. */
  public ReplyWriter(ByteBuf out) {
    this.out = out;
  }

  private void head(char type, long number) {
    out.writeByte(type);
    digits(number);
    out.writeByte('\r').writeByte('\n');
  }

  private void digits(long number) {
    if (number >= 0 && number < 10) {
      out.writeByte('0' + (int) number);
    } else {
      out.writeCharSequence(Long.toString(number), StandardCharsets.US_ASCII);
    }
  }

  private void line(char type, String text) {
    out.writeByte(type);
    // A line break in an echoed word would end the reply early.
    out.writeCharSequence(text.replace('\r', ' ').replace('\n', ' '), StandardCharsets.UTF_8);
    out.writeByte('\r').writeByte('\n');
  }

  /** Writes a simple string. */
  public void simpleString(String text) {
    line('+', text);
  }

  /** Writes the simple string OK. */
  public void ok() {
    simpleString("OK");
  }

  /** Writes an error; the text begins with its code. */
  public void error(String text) {
    line('-', text);
  }

  /** Writes an integer. */
  public void integer(long number) {
    head(':', number);
  }

  /** Writes a boolean as the integer 1 or 0. */
  public void booleanAsInteger(boolean value) {
    integer(value ? 1 : 0);
  }

  /** Writes a bulk string. */
  public void bulkString(byte[] bytes) {
    head('$', bytes.length);
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

  /** Begins an array; its elements are to be written next. */
  public void beginArray(int elements) {
    head('*', elements);
  }

  /** Begins a map of this many pairs; version 2 writes an array of twice as many elements. */
  public void beginMap(int pairs) {
    head(version == 3 ? '%' : '*', version == 3 ? pairs : 2L * pairs);
  }
}
