import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

/** record.txt of a case: a line for each thing sent, answered or run, with its time in ms. */
final class Record {
  private final PrintWriter out;
  private final long startedNanos = System.nanoTime();

  Record(Path file) throws IOException {
    out = new PrintWriter(Files.newBufferedWriter(file, StandardCharsets.UTF_8));
  }

  synchronized void line(String format, Object... arguments) {
    String text = arguments.length == 0 ? format : String.format(format, arguments);
    out.printf("%9.3f %s%n", (System.nanoTime() - startedNanos) / 1e6, text);
  }

  /** Writes a line to the record and to standard output. */
  void say(String format, Object... arguments) {
    String text = arguments.length == 0 ? format : String.format(format, arguments);
    line("%s", text);
    System.out.println(text);
  }

  synchronized void close() {
    out.close();
  }
}
