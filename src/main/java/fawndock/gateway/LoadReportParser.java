package fawndock.gateway;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

/**
 * Reads a load report in the {@code endpoint-load-metrics} answer header (Open Request Cost
 * Aggregation, as gRFC A51 and Envoy's ORCA have it): {@code TEXT
 * cpu_utilization=0.3,rps_fractional=90,named_metrics.queue=4} or {@code JSON
 * {"cpu_utilization":0.3,"named_metrics":{"queue":4}}}. What is not known or not a finite number is
 * skipped; a report that cannot be read is none.
 */
final class LoadReportParser {
  static final String HEADER = "endpoint-load-metrics";
  private static final int MAX_HEADER_CHARACTERS = 4096;
  private static final int MAX_FIELDS = 64;
  private static final JsonFactory JSON = new JsonFactory();
  private static final String COST = "request_cost.units";

  /** The load report, and the units that the backend reports for this request, else 0. */
  record Report(fawndock.policy.event.LoadReport load, double units) {}

  static final Report NONE = new Report(fawndock.policy.event.LoadReport.NONE, 0);

  private LoadReportParser() {}

  static Report parse(String header) {
    if (header == null || header.length() > MAX_HEADER_CHARACTERS) {
      return NONE;
    }
    String text = header.trim();
    Map<String, Double> raw = new HashMap<>();
    String form = text.length() < 5 ? "" : text.substring(0, 5).toUpperCase(Locale.ROOT);
    if (form.equals("TEXT ")) {
      pairs(text.substring(5), raw);
    } else if (form.equals("JSON ")) {
      if (!json(text.substring(5), raw)) {
        return NONE;
      }
    } else {
      return NONE;
    }
    var load = new fawndock.policy.event.LoadReport.Builder();
    raw.forEach(
        (name, value) -> {
          if (value >= 0) {
            set(name, value, load);
          }
        });
    return new Report(load.build(), Math.max(0, raw.getOrDefault(COST, 0.0)));
  }

  private static void set(
      String name, double value, fawndock.policy.event.LoadReport.Builder load) {
    switch (name) {
      case "cpu_utilization", "application_utilization" -> load.utilization(value);
      case "rps_fractional" -> load.requestsPerSecond(value);
      case "eps" -> load.errorsPerSecond(value);
      case "named_metrics.queue" -> load.queuedRequests(value);
      case "named_metrics.in_flight" -> load.inFlightRequests(value);
      case "named_metrics.recent_ms" -> load.recentMillis(value);
      default -> {
        // Not known: skipped, as stated above.
      }
    }
  }

  private static void pairs(String text, Map<String, Double> raw) {
    for (String pair : text.split(",", MAX_FIELDS)) {
      int sign = pair.indexOf('=') >= 0 ? pair.indexOf('=') : pair.indexOf(':');
      if (sign > 0) {
        put(pair.substring(0, sign).trim(), pair.substring(sign + 1).trim(), raw);
      }
    }
  }

  private static void put(String name, String number, Map<String, Double> raw) {
    try {
      double value = Double.parseDouble(number);
      if (Double.isFinite(value) && raw.size() < MAX_FIELDS) {
        raw.put(name, value);
      }
    } catch (NumberFormatException e) {
      // Skipped, as stated above.
    }
  }

  private static boolean json(String text, Map<String, Double> raw) {
    try (JsonParser parser = JSON.createParser(text)) {
      if (parser.nextToken() != JsonToken.START_OBJECT) {
        return false;
      }
      String outer = "";
      int depth = 1;
      while (depth > 0) {
        JsonToken token = parser.nextToken();
        if (token == null) {
          return false;
        }
        if (token == JsonToken.START_OBJECT) {
          depth++;
          outer = depth == 2 ? parser.currentName() + "." : outer;
        } else if (token == JsonToken.END_OBJECT) {
          depth--;
          outer = depth == 1 ? "" : outer;
        } else if (token == JsonToken.START_ARRAY) {
          parser.skipChildren();
        } else if (token.isNumeric() && depth <= 2) {
          put(outer + parser.currentName(), parser.getText(), raw);
        }
      }
      return true;
    } catch (IOException e) {
      return false;
    }
  }
}
