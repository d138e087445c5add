package fawndock.platform;

import fawndock.policy.config.Idempotency;
import fawndock.policy.config.Plan;
import fawndock.policy.config.RequestClass;
import fawndock.runtime.ServerExchange.RequestAttributes;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.regex.Pattern;

/**
 * Parses clients' request commands and validates them against the configured request classes and
 * plans. Immutable after construction.
 */
final class ClientCommandParser {
  private static final long MAX_TIMEOUT_MILLIS = 600_000;

  /** Exclusive upper bound of customer ids. */
  private static final long CUSTOMER_ID_LIMIT = 1L << 33;

  private static final int ID_DIGITS = 16;
  private static final Pattern INTEGER = Pattern.compile("[0-9]{1,9}");
  private static final Pattern DECIMAL = Pattern.compile("[0-9]{1,9}(\\.[0-9]{1,9})?");
  private static final Pattern FIELD_NAME = Pattern.compile("[a-z][a-z0-9_]{0,15}");
  private static final Pattern IDEMPOTENCY_KEY = Pattern.compile("[0-9a-zA-Z_-]{1,64}");

  private final Map<String, RequestClass> classes = new HashMap<>();
  private final Map<String, Plan> plans = new HashMap<>();
  private final int instanceCount;
  private final double maxUnits;

  ClientCommandParser(PlatformConfig config) {
    config.policy().requestClasses().forEach(c -> classes.put(c.name(), c));
    config.policy().plans().forEach(p -> plans.put(p.name(), p));
    instanceCount = config.policy().instanceCount();
    maxUnits = config.maxRequestUnits();
  }

  /** Returns whether a command name is that of a request. */
  static boolean isRequest(byte[] commandName) {
    return matchesIgnoreCase(commandName, PlatformProtocol.COMMAND_IDEMPOTENT)
        || matchesIgnoreCase(commandName, PlatformProtocol.COMMAND_NOT_IDEMPOTENT);
  }

  /** Returns whether a command argument equals the expected text, ignoring case. */
  static boolean matchesIgnoreCase(byte[] argument, String expected) {
    return argument.length == expected.length()
        && new String(argument, StandardCharsets.ISO_8859_1).equalsIgnoreCase(expected);
  }

  /**
   * Parses a request command: command name, customer, id, attribute list and optionally a body.
   *
   * @param nowMicros time at which the command was read
   * @throws InvalidCommandException if the command is invalid; its message is the error reply
   */
  ClientCommand parse(byte[][] arguments, long nowMicros) throws InvalidCommandException {
    if (arguments.length != 4 && arguments.length != 5) {
      throw new InvalidCommandException(
          "a customer, an id, a list and at most a body are expected");
    }
    String customer = parseHexadecimal(arguments[1], "the customer");
    if (Long.compareUnsigned(Long.parseUnsignedLong(customer, 16), CUSTOMER_ID_LIMIT) >= 0) {
      throw new InvalidCommandException("the customer is out of range");
    }
    String id = parseHexadecimal(arguments[2], "the id");
    String attributeList = new String(arguments[3], StandardCharsets.ISO_8859_1);
    Map<String, String> fields = parseFields(attributeList);
    RequestClass requestClass = resolveRequestClass(fields, arguments[0]);
    checkIdempotencyKey(fields, requestClass);
    RequestAttributes attributes = parseAttributes(fields, requestClass, customer, id, nowMicros);
    return new ClientCommand(arguments, attributeList, id, attributes);
  }

  private static Map<String, String> parseFields(String attributeList)
      throws InvalidCommandException {
    Map<String, String> fields = new HashMap<>();
    for (String pair : attributeList.split(",", -1)) {
      int separator = pair.indexOf('=');
      if (separator < 1
          || !FIELD_NAME.matcher(pair.substring(0, separator)).matches()
          || fields.put(pair.substring(0, separator), pair.substring(separator + 1)) != null) {
        throw new InvalidCommandException("the list cannot be read");
      }
    }
    return fields;
  }

  private RequestClass resolveRequestClass(Map<String, String> fields, byte[] commandName)
      throws InvalidCommandException {
    RequestClass requestClass =
        classes.get(fields.getOrDefault(PlatformProtocol.FIELD_REQUEST_CLASS, ""));
    if (requestClass == null
        || !plans.containsKey(fields.getOrDefault(PlatformProtocol.FIELD_PLAN, ""))) {
      throw new InvalidCommandException("no such class or plan");
    }
    boolean isIdempotent = requestClass.idempotency() == Idempotency.IDEMPOTENT;
    if (matchesIgnoreCase(commandName, PlatformProtocol.COMMAND_IDEMPOTENT) != isIdempotent) {
      throw new InvalidCommandException("the class is another command's");
    }
    return requestClass;
  }

  private static void checkIdempotencyKey(Map<String, String> fields, RequestClass requestClass)
      throws InvalidCommandException {
    String key = fields.get(PlatformProtocol.FIELD_IDEMPOTENCY_KEY);
    boolean isInvalid =
        key == null
            ? requestClass.idempotency() == Idempotency.DEDUPLICATED
            : !IDEMPOTENCY_KEY.matcher(key).matches();
    if (isInvalid) {
      throw new InvalidCommandException("'k' is missing or cannot be read");
    }
  }

  private RequestAttributes parseAttributes(
      Map<String, String> fields,
      RequestClass requestClass,
      String customer,
      String id,
      long nowMicros)
      throws InvalidCommandException {
    long timeoutMillis =
        parseInteger(fields, PlatformProtocol.FIELD_TIMEOUT_MILLIS, 1, MAX_TIMEOUT_MILLIS);
    int customerInstanceCount =
        (int) parseInteger(fields, PlatformProtocol.FIELD_INSTANCE_COUNT, 1, instanceCount);
    int firstInstance =
        (int) parseInteger(fields, PlatformProtocol.FIELD_FIRST_INSTANCE, 0, instanceCount - 1);
    boolean isRetry =
        fields.containsKey(PlatformProtocol.FIELD_IS_RETRY)
            && parseInteger(fields, PlatformProtocol.FIELD_IS_RETRY, 0, 1) == 1;
    return new RequestAttributes(
        requestClass,
        fields.get(PlatformProtocol.FIELD_PLAN),
        customer,
        nowMicros,
        nowMicros + timeoutMillis * 1_000,
        parseUnits(fields.getOrDefault(PlatformProtocol.FIELD_UNITS, "")),
        customerInstanceCount,
        firstInstance,
        isRetry,
        id);
  }

  private static String parseHexadecimal(byte[] argument, String name)
      throws InvalidCommandException {
    boolean isValid = argument.length == ID_DIGITS;
    for (byte b : argument) {
      isValid &= (b >= '0' && b <= '9') || (b >= 'a' && b <= 'f');
    }
    if (!isValid) {
      throw new InvalidCommandException(name + " is not 16 hexadecimal digits");
    }
    return new String(argument, StandardCharsets.ISO_8859_1);
  }

  private static long parseInteger(Map<String, String> fields, String name, long min, long max)
      throws InvalidCommandException {
    String text = fields.getOrDefault(name, "");
    long number = INTEGER.matcher(text).matches() ? Long.parseLong(text) : -1;
    if (number < min || number > max) {
      throw new InvalidCommandException("'" + name + "' is missing, no number or out of range");
    }
    return number;
  }

  private double parseUnits(String text) throws InvalidCommandException {
    double units = DECIMAL.matcher(text).matches() ? Double.parseDouble(text) : 0;
    if (!(units > 0 && units <= maxUnits)) {
      throw new InvalidCommandException("'units' is missing, no number or out of range");
    }
    return units;
  }
}
