package fawndock.loadgen;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import org.HdrHistogram.Histogram;
import org.HdrHistogram.HistogramLogWriter;

/**
 * An HdrHistogram interval log of all flows, each under its name as the tag; latencies in
 * microseconds.
 */
public final class HistogramLog implements AutoCloseable {
  private final List<String> names;
  private final PrintStream out;
  private final HistogramLogWriter writer;
  private long from = System.currentTimeMillis();

  /** Begins the log, in the place of what is in the file. */
  public HistogramLog(Path file, List<String> names) throws IOException {
    this.names = names;
    out = new PrintStream(file.toFile(), StandardCharsets.UTF_8);
    writer = new HistogramLogWriter(out);
    writer.outputLogFormatVersion();
    writer.outputStartTime(from);
    writer.setBaseTime(from);
    writer.outputLegend();
  }

  /** Writes what the interval that ends now holds. */
  public void interval(List<FlowStatistics> tallies) {
    long now = System.currentTimeMillis();
    for (int i = 0; i < tallies.size(); i++) {
      Histogram of = tallies.get(i).interval;
      of.setTag(names.get(i));
      of.setStartTimeStamp(from);
      of.setEndTimeStamp(now);
      writer.outputIntervalHistogram(of);
    }
    from = now;
  }

  @Override
  public void close() {
    out.close();
  }
}
