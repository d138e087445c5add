package fawndock.gateway;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

/**
 * Parses load reports in the {@code endpoint-load-metrics} response header (Open Request Cost
 * Aggregation, ORCA, as specified by gRFC A51 and Envoy): {@code TEXT
 * cpu_utilization=0.3,rps_fractional=90,named_metrics.queue=4} or {@code JSON
 * {"cpu_utilization":0.3,"named_metrics":{"queue":4}}}. Unknown fields and values that are not
 * finite, non-negative numbers are skipped; an unreadable report yields {@link #NONE}. The class is
 * stateless.
 */
final class LoadReportParser {
  static final String HEADER = "endpoint-load-metrics";
  private static final int MAX_HEADER_CHARACTERS = 4096;
  private static final int MAX_FIELDS = 64;
  private static final JsonFactory JSON = new JsonFactory();
  private static final String REQUEST_UNITS = "request_cost.units";

  /**
   * A parsed header.
   *
   * @param load the endpoint's load report
   * @param units the units that the backend reports for this request, or 0 if it reports none
   */
  record Report(fawndock.policy.event.LoadReport load, double units) {}

  static final Report NONE = new Report(fawndock.policy.event.LoadReport.NONE, 0);

  private LoadReportParser() {}

  /** Parses a header value, which may be null. Returns {@link #NONE} if it is not readable. */
  static Report parse(String header) {
    if (header == null || header.length() > MAX_HEADER_CHARACTERS) {
      return NONE;
    }
    String text = header.trim();
    Map<String, Double> metrics = new HashMap<>();
    String format = text.length() < 5 ? "" : text.substring(0, 5).toUpperCase(Locale.ROOT);
    if (format.equals("TEXT ")) {
      parseText(text.substring(5), metrics);
    } else if (format.equals("JSON ")) {
      if (!parseJson(text.substring(5), metrics)) {
        return NONE;
      }
    } else {
      return NONE;
    }
    var load = new fawndock.policy.event.LoadReport.Builder();
    metrics.forEach(
        (name, value) -> {
          if (value >= 0) {
            setField(name, value, load);
          }
        });
    return new Report(load.build(), Math.max(0, metrics.getOrDefault(REQUEST_UNITS, 0.0)));
  }

  private static void setField(
      String name, double value, fawndock.policy.event.LoadReport.Builder load) {
    switch (name) {
      case "cpu_utilization", "application_utilization" -> load.utilization(value);
      case "rps_fractional" -> load.requestsPerSecond(value);
      case "eps" -> load.errorsPerSecond(value);
      case "named_metrics.queue" -> load.queuedRequests(value);
      case "named_metrics.in_flight" -> load.inFlightRequests(value);
      case "named_metrics.recent_ms" -> load.recentMillis(value);
      default -> {
        // Unknown fields are skipped.
      }
    }
  }

  private static void parseText(String text, Map<String, Double> metrics) {
    for (String pair : text.split(",", MAX_FIELDS)) {
      int separator = pair.indexOf('=') >= 0 ? pair.indexOf('=') : pair.indexOf(':');
      if (separator > 0) {
        putIfFinite(
            pair.substring(0, separator).trim(), pair.substring(separator + 1).trim(), metrics);
      }
    }
  }

  private static void putIfFinite(String name, String number, Map<String, Double> metrics) {
    try {
      double value = Double.parseDouble(number);
      if (Double.isFinite(value) && metrics.size() < MAX_FIELDS) {
        metrics.put(name, value);
      }
    } catch (NumberFormatException e) {
      // Values that are not numbers are skipped.
    }
  }

  private static boolean parseJson(String text, Map<String, Double> metrics) {
    try (JsonParser parser = JSON.createParser(text)) {
      if (parser.nextToken() != JsonToken.START_OBJECT) {
        return false;
      }
      String prefix = "";
      int depth = 1;
      while (depth > 0) {
        JsonToken token = parser.nextToken();
        if (token == null) {
          return false;
        }
        if (token == JsonToken.START_OBJECT) {
          depth++;
          prefix = depth == 2 ? parser.currentName() + "." : prefix;
        } else if (token == JsonToken.END_OBJECT) {
          depth--;
          prefix = depth == 1 ? "" : prefix;
        } else if (token == JsonToken.START_ARRAY) {
          parser.skipChildren();
        } else if (token.isNumeric() && depth <= 2) {
          putIfFinite(prefix + parser.currentName(), parser.getText(), metrics);
        }
      }
      return true;
    } catch (IOException e) {
      return false;
    }
  }
}
