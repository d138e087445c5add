package fawndock.loadgen;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.MappingIterator;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.dataformat.csv.CsvMapper;
import com.fasterxml.jackson.dataformat.csv.CsvParser;
import com.fasterxml.jackson.dataformat.csv.CsvSchema;
import java.io.BufferedReader;
import java.io.IOException;
import java.math.BigDecimal;
import java.time.DateTimeException;
import java.time.Instant;
import java.time.OffsetDateTime;
import java.time.temporal.ChronoUnit;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;

/**
 * Reads recorded requests with their start times from a trace. A trace is a CSV file with the
 * columns {@code at} (seconds), {@code method}, {@code path} and {@code key}, of which only the
 * first is required, or a gateway's log in JSON. Start times keep a resolution of one microsecond,
 * which preserves bursts.
 */
public final class RequestTrace {
  /**
   * A recorded request. An empty method, path or key stands for the value in the load file.
   *
   * @param atMicros start time, from the first request of the trace
   */
  public record Entry(long atMicros, String method, String path, String key) {}

  /**
   * The contents of a trace.
   *
   * @param entries requests sorted by start time; requests of the same time keep the file's order
   * @param outOfOrderCount number of requests that the file has later than a request with a later
   *     start
   * @param skippedLineCount number of log lines that do not describe a response
   */
  public record ParsedTrace(List<Entry> entries, int outOfOrderCount, int skippedLineCount) {}

  /** Maximum number of requests in a trace, which bounds the memory. */
  public static final int MAX_ENTRIES = 5_000_000;

  private static final BigDecimal MICROS_PER_SECOND = BigDecimal.valueOf(1_000_000);

  private RequestTrace() {}

  /**
   * Reads a trace.
   *
   * @throws IOException when the trace is invalid, with the line and the reason
   */
  public static ParsedTrace read(BufferedReader reader, String name) throws IOException {
    reader.mark(1 << 16);
    int firstChar = reader.read();
    reader.reset();
    List<Entry> entries = new ArrayList<>();
    int skippedLineCount =
        firstChar == '{' ? readLog(reader, name, entries) : readCsv(reader, name, entries);
    if (entries.isEmpty()) {
      throw new IOException(name + ": no requests in it, expected at least one");
    }
    int outOfOrderCount = 0;
    long latestMicros = Long.MIN_VALUE;
    for (Entry entry : entries) {
      outOfOrderCount += entry.atMicros < latestMicros ? 1 : 0;
      latestMicros = Math.max(latestMicros, entry.atMicros);
    }
    entries.sort(Comparator.comparingLong(Entry::atMicros));
    long startMicros = entries.get(0).atMicros;
    entries.replaceAll(e -> new Entry(e.atMicros - startMicros, e.method, e.path, e.key));
    return new ParsedTrace(entries, outOfOrderCount, skippedLineCount);
  }

  private static int readCsv(BufferedReader reader, String name, List<Entry> entries)
      throws IOException {
    CsvSchema schema = CsvSchema.emptySchema().withHeader();
    try (MappingIterator<Map<String, String>> rows =
        new CsvMapper()
            .enable(CsvParser.Feature.TRIM_SPACES)
            .enable(CsvParser.Feature.SKIP_EMPTY_LINES)
            .readerForMapOf(String.class)
            .with(schema)
            .readValues(reader)) {
      while (rows.hasNextValue()) {
        int line = rows.getCurrentLocation().getLineNr();
        Map<String, String> row = rows.nextValue();
        String at = row.get("at");
        if (at == null) {
          throw new IOException(
              name + ":" + line + ": no column 'at', expected at[,method][,path][,key]");
        }
        try {
          add(
              entries,
              name,
              new Entry(
                  new BigDecimal(at).multiply(MICROS_PER_SECOND).longValueExact(),
                  row.getOrDefault("method", ""),
                  row.getOrDefault("path", ""),
                  row.getOrDefault("key", "")));
        } catch (ArithmeticException | NumberFormatException e) {
          throw new IOException(
              name
                  + ":"
                  + line
                  + ": time '"
                  + at
                  + "', expected seconds with at most six decimals");
        }
      }
    } catch (JsonProcessingException e) {
      throw new IOException(
          name
              + ":"
              + e.getLocation().getLineNr()
              + ": "
              + e.getOriginalMessage()
              + ", expected a row of as many columns as the first line",
          e);
    }
    return 0;
  }

  private static int readLog(BufferedReader reader, String name, List<Entry> entries)
      throws IOException {
    ObjectMapper json = new ObjectMapper();
    int skippedLineCount = 0;
    int lineNumber = 0;
    for (String line = reader.readLine(); line != null; line = reader.readLine()) {
      lineNumber++;
      try {
        JsonNode event = json.readTree(line);
        JsonNode durationMicros = event.path("took_us");
        JsonNode timestamp = event.path("@timestamp");
        if (!durationMicros.isNumber() || !timestamp.isTextual()) {
          skippedLineCount++;
          continue;
        }
        Instant endTime = OffsetDateTime.parse(timestamp.asText()).toInstant();
        add(
            entries,
            name,
            new Entry(
                ChronoUnit.MICROS.between(Instant.EPOCH, endTime) - durationMicros.asLong(),
                "",
                "",
                event.path("customer").asText("")));
      } catch (JsonProcessingException | DateTimeException e) {
        throw new IOException(
            name + ":" + lineNumber + ": not an event of a log, expected JSON with @timestamp", e);
      }
    }
    return skippedLineCount;
  }

  private static void add(List<Entry> entries, String name, Entry entry) throws IOException {
    if (entries.size() >= MAX_ENTRIES) {
      throw new IOException(
          name + ": more than " + MAX_ENTRIES + " requests, expected fewer; cut the trace");
    }
    entries.add(entry);
  }
}
