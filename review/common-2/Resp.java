import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** Reading and writing of RESP2. */
final class Resp {
  private Resp() {}

  /** Returns a command as an array of bulk strings. */
  static byte[] command(String... words) {
    StringBuilder text = new StringBuilder("*" + words.length + "\r\n");
    for (String word : words) {
      text.append('$').append(word.length()).append("\r\n").append(word).append("\r\n");
    }
    return text.toString().getBytes(StandardCharsets.ISO_8859_1);
  }

  static byte[] bulk(String text) {
    return ("$" + text.length() + "\r\n" + text + "\r\n").getBytes(StandardCharsets.ISO_8859_1);
  }

  /** Returns a worker's answer: the value, no figures on use, no load report. */
  static byte[] served(String value) {
    return ("*3\r\n$" + value.length() + "\r\n" + value + "\r\n$-1\r\n$-1\r\n")
        .getBytes(StandardCharsets.ISO_8859_1);
  }

  /** Reads commands or replies from a stream. */
  static final class Reader {
    private final InputStream in;

    Reader(InputStream in) {
      this.in = new BufferedInputStream(in, 1 << 16);
    }

    private int read() throws IOException {
      int b = in.read();
      if (b < 0) {
        throw new EOFException();
      }
      return b;
    }

    private String line() throws IOException {
      ByteArrayOutputStream line = new ByteArrayOutputStream();
      for (int b = read(); b != '\n'; b = read()) {
        line.write(b);
      }
      String text = line.toString(StandardCharsets.ISO_8859_1);
      return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
    }

    private String bulkBody(int length) throws IOException {
      byte[] bytes = in.readNBytes(length);
      if (bytes.length < length) {
        throw new EOFException();
      }
      read();
      read();
      return new String(bytes, StandardCharsets.ISO_8859_1);
    }

    /** Returns the words of the next command. */
    List<String> command() throws IOException {
      String head = line();
      if (!head.startsWith("*")) {
        throw new IOException("not a command: " + head);
      }
      int count = Integer.parseInt(head.substring(1));
      List<String> words = new ArrayList<>();
      for (int i = 0; i < count; i++) {
        words.add(bulkBody(Integer.parseInt(line().substring(1))));
      }
      return words;
    }

    /** Returns the next reply: "$" and the value, "$-1" for null, or the line with its type. */
    String reply() throws IOException {
      String head = line();
      if (!head.startsWith("$")) {
        return head;
      }
      int length = Integer.parseInt(head.substring(1));
      return length < 0 ? head : "$" + bulkBody(length);
    }
  }
}
