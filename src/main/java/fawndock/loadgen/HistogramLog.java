package fawndock.loadgen;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import org.HdrHistogram.Histogram;
import org.HdrHistogram.HistogramLogWriter;

/**
 * Writes an HdrHistogram interval log of all flows, tagged with the flow's name, with latencies in
 * microseconds. Not thread-safe.
 */
public final class HistogramLog implements AutoCloseable {
  private final List<String> names;
  private final PrintStream out;
  private final HistogramLogWriter writer;
  private long intervalStartMillis = System.currentTimeMillis();

  /** Opens the log and overwrites the file. */
  public HistogramLog(Path file, List<String> names) throws IOException {
    this.names = names;
    out = new PrintStream(file.toFile(), StandardCharsets.UTF_8);
    writer = new HistogramLogWriter(out);
    writer.outputLogFormatVersion();
    writer.outputStartTime(intervalStartMillis);
    writer.setBaseTime(intervalStartMillis);
    writer.outputLegend();
  }

  /** Writes the latencies of the interval that ends now. */
  public void writeInterval(List<FlowStatistics> statistics) {
    long nowMillis = System.currentTimeMillis();
    for (int i = 0; i < statistics.size(); i++) {
      Histogram histogram = statistics.get(i).intervalLatency;
      histogram.setTag(names.get(i));
      histogram.setStartTimeStamp(intervalStartMillis);
      histogram.setEndTimeStamp(nowMillis);
      writer.outputIntervalHistogram(histogram);
    }
    intervalStartMillis = nowMillis;
  }

  @Override
  public void close() {
    out.close();
  }
}
