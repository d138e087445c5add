package fawndock.platform;

import fawndock.platformconfig.SettingsReader;
import fawndock.policy.event.CallResult;
import fawndock.resp.Reply;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

/**
 * What a worker's reply says, by the platform's table. A reply that is none of the table's is a
 * failed attempt that may have run; an unreadable load report or figure on use costs nothing but
 * itself.
 *
 * @param value what the client is served, or null
 * @param load the load report under the decisions' names
 * @param units the true units, or 0 where nothing is said
 * @param isConnectionReusable whether the connection is of further use
 */
record BackendReply(
    CallResult result,
    byte[] value,
    Map<String, Double> load,
    double units,
    boolean isConnectionReusable) {
  private static final int PARTS = 3;
  private static final int MOST_FIELDS = 32;
  private static final BackendReply SPOILT =
      new BackendReply(CallResult.ERROR, null, Map.of(), 0, false);

  static BackendReply of(Reply reply) {
    if (reply.isError()) {
      String text = reply.text();
      Map<String, Double> load =
          SettingsReader.load(parseNumbers(text.substring(text.lastIndexOf(' ') + 1)));
      boolean busy = text.equals("BUSY") || text.startsWith("BUSY ");
      // Only the error that the table names is known to leave the connection in order.
      return busy
          ? new BackendReply(CallResult.SHED, null, load, 0, true)
          : new BackendReply(CallResult.ERROR, null, load, 0, text.startsWith("ERR "));
    }
    if (reply.elements() == null
        || reply.elements().size() != PARTS
        || !reply.elements().get(0).isBulk()) {
      return SPOILT;
    }
    Map<String, Double> use = parseNumbers(reply.elements().get(1).text());
    double units = use.getOrDefault("charged", use.getOrDefault("cost", 0.0));
    return new BackendReply(
        CallResult.OK,
        reply.elements().get(0).bytes(),
        SettingsReader.load(parseNumbers(reply.elements().get(2).text())),
        Math.max(0, units),
        true);
  }

  /** Names and values that can be read, {@code name=1.5,other=2}; what cannot is left out. */
  static Map<String, Double> parseNumbers(String text) {
    Map<String, Double> read = new HashMap<>();
    for (String pair : text.split(",", MOST_FIELDS)) {
      int sign = pair.indexOf('=');
      if (sign > 0) {
        try {
          double value = Double.parseDouble(pair.substring(sign + 1));
          if (Double.isFinite(value) && value >= 0) {
            read.put(pair.substring(0, sign).trim().toLowerCase(Locale.ROOT), value);
          }
        } catch (NumberFormatException e) {
          // Left out, as stated above.
        }
      }
    }
    return read;
  }
}
