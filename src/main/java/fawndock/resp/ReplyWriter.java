package fawndock.resp;

import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;

/** Writes answers in the protocol's version 2 or 3. */
public final class ReplyWriter {
  private final ByteBuf to;

  /** 2 or 3. */
  public int version = 2;

  /** Writes to the end of the buffer. */
  public ReplyWriter(ByteBuf to) {
    this.to = to;
  }

  private ReplyWriter head(char type, long number) {
    to.writeByte(type);
    digits(number);
    to.writeByte('\r').writeByte('\n');
    return this;
  }

  private void digits(long number) {
    if (number >= 0 && number < 10) {
      to.writeByte('0' + (int) number);
    } else {
      to.writeCharSequence(Long.toString(number), StandardCharsets.US_ASCII);
    }
  }

  private void line(char type, String text) {
    to.writeByte(type);
    // A line break in an echoed word would end the answer early.
    to.writeCharSequence(text.replace('\r', ' ').replace('\n', ' '), StandardCharsets.UTF_8);
    to.writeByte('\r').writeByte('\n');
  }

  public void simple(String text) {
    line('+', text);
  }

  public void ok() {
    simple("OK");
  }

  public void error(String text) {
    line('-', text);
  }

  public void integer(long number) {
    head(':', number);
  }

  public void flag(boolean is) {
    integer(is ? 1 : 0);
  }

  public void bulk(byte[] bytes) {
    head('$', bytes.length);
    to.writeBytes(bytes).writeByte('\r').writeByte('\n');
  }

  public void bulk(String text) {
    bulk(text.getBytes(StandardCharsets.UTF_8));
  }

  public void nullBulk() {
    to.writeCharSequence(version == 3 ? "_\r\n" : "$-1\r\n", StandardCharsets.US_ASCII);
  }

  public void array(int elements) {
    head('*', elements);
  }

  /** Begins a map of so many pairs; version 2 has an array of twice as many. */
  public void map(int pairs) {
    head(version == 3 ? '%' : '*', version == 3 ? pairs : 2L * pairs);
  }
}
