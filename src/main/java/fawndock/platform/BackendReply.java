package fawndock.platform;

import fawndock.platformconfig.SettingsReader;
import fawndock.policy.event.CallResult;
import fawndock.policy.event.LoadReport;
import fawndock.resp.Reply;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * The meaning of a backend's reply by the platform's table of outcomes. A reply that is not in the
 * table is a failed attempt that may have run; a malformed load report or usage is ignored.
 *
 * @param value the response to the client, or null
 * @param loadReport load of the endpoint as it reports it
 * @param unitsUsed the units that the request has used, or 0 if none are reported
 * @param isConnectionReusable whether the connection's byte stream is still in sync
 */
// The array component is safe: the value is passed on without a copy, and replies are never
// compared.
@SuppressWarnings("ArrayRecordComponent")
record BackendReply(
    CallResult result,
    byte[] value,
    LoadReport loadReport,
    double unitsUsed,
    boolean isConnectionReusable) {
  /** Elements of a successful reply: value, usage and load report. */
  static final int ELEMENT_COUNT = 3;

  private static final int MAX_FIELDS = 32;
  private static final BackendReply MALFORMED =
      new BackendReply(CallResult.ERROR, null, LoadReport.NONE, 0, false);

  /** Converts a RESP reply to its meaning. */
  static BackendReply of(Reply reply) {
    if (reply.isError()) {
      return ofError(reply.text());
    }
    List<Reply> elements = reply.elements();
    if (elements == null || elements.size() != ELEMENT_COUNT || !elements.get(0).isBulk()) {
      return MALFORMED;
    }
    Map<String, Double> usage = parseNumericFields(elements.get(1).text());
    double unitsUsed =
        usage.getOrDefault(
            PlatformProtocol.FIELD_UNITS_USED,
            usage.getOrDefault(PlatformProtocol.FIELD_UNITS_USED_OLD, 0.0));
    return new BackendReply(
        CallResult.OK,
        elements.get(0).bytes(),
        SettingsReader.readLoadReport(parseNumericFields(elements.get(2).text())),
        Math.max(0, unitsUsed),
        true);
  }

  private static BackendReply ofError(String text) {
    String lastWord = text.substring(text.lastIndexOf(' ') + 1);
    LoadReport loadReport = SettingsReader.readLoadReport(parseNumericFields(lastWord));
    if (text.equals(PlatformProtocol.ERROR_REJECTED)
        || text.startsWith(PlatformProtocol.ERROR_REJECTED + " ")) {
      return new BackendReply(CallResult.SHED, null, loadReport, 0, true);
    }
    // Only after the errors that the table names is the connection known to be in sync.
    boolean isConnectionReusable = text.startsWith(PlatformProtocol.ERROR);
    return new BackendReply(CallResult.ERROR, null, loadReport, 0, isConnectionReusable);
  }

  /** Parses {@code name=1.5,other=2}; malformed and negative fields are ignored. */
  static Map<String, Double> parseNumericFields(String text) {
    Map<String, Double> numbers = new HashMap<>();
    for (String field : text.split(",", MAX_FIELDS)) {
      int separator = field.indexOf('=');
      if (separator > 0) {
        double value = parseNumber(field.substring(separator + 1));
        if (Double.isFinite(value) && value >= 0) {
          numbers.put(field.substring(0, separator).trim().toLowerCase(Locale.ROOT), value);
        }
      }
    }
    return numbers;
  }

  private static double parseNumber(String text) {
    try {
      return Double.parseDouble(text);
    } catch (NumberFormatException e) {
      return Double.NaN; // The caller ignores the field.
    }
  }
}
