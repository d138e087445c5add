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
 * Recorded requests, each with when it began: a CSV file with the columns {@code at} (seconds),
 * {@code method}, {@code path} and {@code key}, of which only the first must be there, or a
 * gateway's log in JSON. Bursts stay as they were, to the microsecond.
 */
public final class RequestTrace {
  /**
   * One request.
   *
   * @param atMicros from the first of the trace
   * @param method or empty for what the load file says; so are path and key
   */
  public record Entry(long atMicros, String method, String path, String key) {}

  /**
   * What was read.
   *
   * @param entries in the order of their times, those of the same time as they stood
   * @param moved how many did not stand in that order
   * @param skipped lines of a log that are not of an answer
   */
  public record Read(List<Entry> entries, int moved, int skipped) {}

  /** Beyond it a trace is refused, so that memory has a bound. */
  public static final int MOST = 5_000_000;

  private static final BigDecimal MICROS = BigDecimal.valueOf(1_000_000);

  private RequestTrace() {}

  /**
   * Reads a trace.
   *
   * @throws IOException that tells the line and what is wrong with it
   */
  public static Read read(BufferedReader from, String name) throws IOException {
    from.mark(1 << 16);
    int first = from.read();
    from.reset();
    List<Entry> entries = new ArrayList<>();
    int skipped = first == '{' ? log(from, name, entries) : csv(from, name, entries);
    if (entries.isEmpty()) {
      throw new IOException(name + ": no requests in it, expected at least one");
    }
    int moved = 0;
    long latest = Long.MIN_VALUE;
    for (Entry each : entries) {
      moved += each.atMicros < latest ? 1 : 0;
      latest = Math.max(latest, each.atMicros);
    }
    entries.sort(Comparator.comparingLong(Entry::atMicros));
    long begin = entries.get(0).atMicros;
    entries.replaceAll(e -> new Entry(e.atMicros - begin, e.method, e.path, e.key));
    return new Read(entries, moved, skipped);
  }

  private static int csv(BufferedReader from, String name, List<Entry> into) throws IOException {
    CsvSchema schema = CsvSchema.emptySchema().withHeader();
    try (MappingIterator<Map<String, String>> rows =
        new CsvMapper()
            .enable(CsvParser.Feature.TRIM_SPACES)
            .enable(CsvParser.Feature.SKIP_EMPTY_LINES)
            .readerForMapOf(String.class)
            .with(schema)
            .readValues(from)) {
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
              into,
              name,
              new Entry(
                  new BigDecimal(at).multiply(MICROS).longValueExact(),
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

  private static int log(BufferedReader from, String name, List<Entry> into) throws IOException {
    ObjectMapper json = new ObjectMapper();
    int skipped = 0;
    int number = 0;
    for (String line = from.readLine(); line != null; line = from.readLine()) {
      number++;
      try {
        JsonNode event = json.readTree(line);
        JsonNode took = event.path("took_us");
        JsonNode stamp = event.path("@timestamp");
        if (!took.isNumber() || !stamp.isTextual()) {
          skipped++;
          continue;
        }
        Instant end = OffsetDateTime.parse(stamp.asText()).toInstant();
        add(
            into,
            name,
            new Entry(
                ChronoUnit.MICROS.between(Instant.EPOCH, end) - took.asLong(),
                "",
                "",
                event.path("customer").asText("")));
      } catch (JsonProcessingException | DateTimeException e) {
        throw new IOException(
            name + ":" + number + ": not an event of a log, expected JSON with @timestamp", e);
      }
    }
    return skipped;
  }

  private static void add(List<Entry> into, String name, Entry entry) throws IOException {
    if (into.size() >= MOST) {
      throw new IOException(
          name + ": more than " + MOST + " requests, expected fewer; cut the trace");
    }
    into.add(entry);
  }
}
