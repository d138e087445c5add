package fawndock.platform;

import fawndock.policy.config.Idempotency;
import fawndock.policy.config.Plan;
import fawndock.policy.config.RequestClass;
import fawndock.resp.ReplyWriter;
import fawndock.runtime.ServerExchange.RequestAttributes;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.regex.Pattern;

/**
 * A client's {@code Q.ASK} or {@code Q.DO}, read and checked, and the same command as a worker gets
 * it: unchanged but for {@code d}.
 */
final class ClientCommand {
  /** A command that is none; the message is the error line's. */
  static final class UnfitException extends Exception {
    private static final long serialVersionUID = 1L;

    UnfitException(String told) {
      super("ERR " + told, null, false, false);
    }
  }

  /** What commands are checked against. */
  static final class Terms {
    private final Map<String, RequestClass> classes = new HashMap<>();
    private final Map<String, Plan> plans = new HashMap<>();
    private final int gatekeepers;
    private final double mostUnits;

    Terms(PlatformConfig config) {
      config.policy().requestClasses().forEach(c -> classes.put(c.name(), c));
      config.policy().plans().forEach(p -> plans.put(p.name(), p));
      gatekeepers = config.policy().instanceCount();
      mostUnits = config.maxRequestUnits();
    }
  }

  private static final long LONGEST_WAIT_MILLIS = 600_000;
  private static final long CUSTOMERS = 1L << 33;
  private static final int ID_LENGTH = 16;
  private static final Pattern NUMBER = Pattern.compile("[0-9]{1,9}");
  private static final Pattern AMOUNT = Pattern.compile("[0-9]{1,9}(\\.[0-9]{1,9})?");
  private static final Pattern NAME = Pattern.compile("[a-z][a-z0-9_]{0,15}");
  private static final Pattern KEY = Pattern.compile("[0-9a-zA-Z_-]{1,64}");
  private final byte[][] words;
  private final String fields;
  private final String id;
  private final RequestAttributes asked;

  private ClientCommand(byte[][] words, String fields, String id, RequestAttributes asked) {
    this.words = words;
    this.fields = fields;
    this.id = id;
    this.asked = asked;
  }

  /** Whether a word names one of the commands. */
  static boolean isOne(byte[] word) {
    return is(word, "Q.ASK") || is(word, "Q.DO");
  }

  static boolean is(byte[] word, String name) {
    return word.length == name.length()
        && new String(word, StandardCharsets.ISO_8859_1).equalsIgnoreCase(name);
  }

  /** Reads the words of a command that came at the time given. */
  static ClientCommand read(byte[][] words, long now, Terms terms) throws UnfitException {
    if (words.length != 4 && words.length != 5) {
      throw new UnfitException("a customer, an id, a list and at most a body are expected");
    }
    String customer = hex(words[1], "the customer");
    if (Long.compareUnsigned(Long.parseUnsignedLong(customer, 16), CUSTOMERS) >= 0) {
      throw new UnfitException("the customer is out of range");
    }
    String id = hex(words[2], "the id");
    String fields = new String(words[3], StandardCharsets.ISO_8859_1);
    Map<String, String> values = new HashMap<>();
    for (String pair : fields.split(",", -1)) {
      int sign = pair.indexOf('=');
      if (sign < 1
          || !NAME.matcher(pair.substring(0, sign)).matches()
          || values.put(pair.substring(0, sign), pair.substring(sign + 1)) != null) {
        throw new UnfitException("the list cannot be read");
      }
    }
    RequestClass type = terms.classes.get(values.getOrDefault("c", ""));
    if (type == null || !terms.plans.containsKey(values.getOrDefault("t", ""))) {
      throw new UnfitException("no such class or plan");
    }
    if (is(words[0], "Q.ASK") != (type.idempotency() == Idempotency.IDEMPOTENT)) {
      throw new UnfitException("the class is another command's");
    }
    String key = values.get("k");
    if (key == null
        ? type.idempotency() == Idempotency.DEDUPLICATED
        : !KEY.matcher(key).matches()) {
      throw new UnfitException("'k' is missing or cannot be read");
    }
    long wait = whole(values, "d", 1, LONGEST_WAIT_MILLIS);
    int spread = (int) whole(values, "spread", 1, terms.gatekeepers);
    int first = (int) whole(values, "first", 0, terms.gatekeepers - 1);
    boolean repeat = values.containsKey("r") && whole(values, "r", 0, 1) == 1;
    return new ClientCommand(
        words,
        fields,
        id,
        new RequestAttributes(
            type,
            values.get("t"),
            customer,
            now,
            now + wait * 1_000,
            units(values.getOrDefault("units", ""), terms.mostUnits),
            spread,
            first,
            repeat,
            id));
  }

  private static String hex(byte[] word, String what) throws UnfitException {
    boolean fits = word.length == ID_LENGTH;
    for (byte b : word) {
      fits &= b >= '0' && b <= '9' || b >= 'a' && b <= 'f';
    }
    if (!fits) {
      throw new UnfitException(what + " is not 16 hexadecimal digits");
    }
    return new String(word, StandardCharsets.ISO_8859_1);
  }

  private static long whole(Map<String, String> values, String name, long least, long most)
      throws UnfitException {
    String text = values.getOrDefault(name, "");
    long number = NUMBER.matcher(text).matches() ? Long.parseLong(text) : -1;
    if (number < least || number > most) {
      throw new UnfitException("'" + name + "' is missing, no number or out of range");
    }
    return number;
  }

  private static double units(String text, double most) throws UnfitException {
    double units = AMOUNT.matcher(text).matches() ? Double.parseDouble(text) : 0;
    if (!(units > 0 && units <= most)) {
      throw new UnfitException("'units' is missing, no number or out of range");
    }
    return units;
  }

  RequestAttributes asked() {
    return asked;
  }

  String id() {
    return id;
  }

  /** Bytes that it holds while it is open. */
  int size() {
    return words.length == 5 ? words[4].length + fields.length() : fields.length();
  }

  /** The command as a worker gets it, with the time that it has. */
  ByteBuf toWorker(long leftMillis) {
    int at = fields.startsWith("d=") ? 2 : fields.indexOf(",d=") + 3;
    int to = fields.indexOf(',', at);
    byte[] list =
        (fields.substring(0, at) + leftMillis + (to < 0 ? "" : fields.substring(to)))
            .getBytes(StandardCharsets.ISO_8859_1);
    ByteBuf out = Unpooled.buffer(96 + list.length + (words.length == 5 ? words[4].length : 0));
    ReplyWriter writer = new ReplyWriter(out);
    writer.array(words.length);
    for (int i = 0; i < words.length; i++) {
      writer.bulk(i == 3 ? list : words[i]);
    }
    return out;
  }
}
