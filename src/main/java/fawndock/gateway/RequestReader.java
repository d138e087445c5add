package fawndock.gateway;

import fawndock.policy.config.Idempotency;
import fawndock.policy.config.RequestClass;
import fawndock.runtime.ServerExchange.RequestAttributes;
import fawndock.settings.GatewaySettings;
import fawndock.settings.GatewaySettings.ApiKey;
import fawndock.settings.GatewaySettings.Route;
import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.regex.Pattern;

/**
 * Parses the head of a client's HTTP request: the method and path determine the request class, the
 * API key determines the customer and plan, and a header field gives the client's remaining
 * timeout. docs/operations.md lists the header names. The reader is confined to one event-loop
 * context.
 */
final class RequestReader {
  private static final Pattern STRUCTURED_STRING =
      Pattern.compile("\"(?:[ !#-\\[\\]-~]|\\\\[\"\\\\]){1,255}\"");
  private static final Pattern AMBIGUOUS_PATH =
      Pattern.compile("(?i)(^|/)(\\.|%2e){1,2}(/|$)|%2f|%5c|\\\\");
  private static final Pattern POSITIVE_INTEGER = Pattern.compile("0*[1-9][0-9]{0,8}");
  private static final Pattern DECIMAL = Pattern.compile("[0-9]{1,9}(\\.[0-9]{1,6})?");
  private static final int MAX_LABEL_CHARACTERS = 64;

  /**
   * A parsed request head.
   *
   * @param forwarded the request to forward; its body is empty until it is collected
   */
  record RequestHead(RequestAttributes attributes, ForwardedRequest forwarded) {}

  private final GatewaySettings settings;
  private final Map<String, RequestClass> classes = new HashMap<>();

  /** Lower-case names of the header fields that are consumed here and not forwarded. */
  private final Set<String> gatewayHeaders = new HashSet<>();

  RequestReader(GatewaySettings settings) {
    this.settings = settings;
    for (String name :
        List.of(
            settings.http().keyHeader(),
            settings.http().deadlineHeader(),
            settings.http().attemptHeader(),
            "content-length")) {
      gatewayHeaders.add(name.toLowerCase(Locale.ROOT));
    }
    settings.classes().forEach(requestClass -> classes.put(requestClass.name(), requestClass));
  }

  /**
   * Parses a request's head.
   *
   * @throws ProblemException if the request is invalid; the gateway then sends the response itself
   */
  RequestHead read(HttpServerRequest request, long arrivedAtMicros) {
    String path = request.path();
    if (path == null || AMBIGUOUS_PATH.matcher(path).find()) {
      throw new ProblemException(
          400, "path", "Path cannot be read", "Send it without dot segments.");
    }
    ApiKey apiKey = apiKey(request);
    RequestClass requestClass = classes.get(findRoute(request, path).requestClass());
    checkIdempotencyKey(request, requestClass);
    long timeoutMicros = timeoutMicros(request, requestClass);
    boolean isRetry = positiveInteger(request, settings.http().attemptHeader(), 1) > 1;
    MultiMap headers = forwardedHeaders(request);
    String label = request.getHeader("x-request-id");
    RequestAttributes attributes =
        new RequestAttributes(
            requestClass,
            apiKey.plan(),
            apiKey.customer(),
            arrivedAtMicros,
            arrivedAtMicros + timeoutMicros,
            units(request),
            apiKey.customerInstanceCount() == 0
                ? settings.fleetSize()
                : apiKey.customerInstanceCount(),
            apiKey.customerFirstInstance(),
            isRetry,
            label == null
                ? ""
                : label.substring(0, Math.min(MAX_LABEL_CHARACTERS, label.length())));
    return new RequestHead(
        attributes,
        new ForwardedRequest(request.method(), request.uri(), headers, Buffer.buffer()));
  }

  private ApiKey apiKey(HttpServerRequest request) {
    String key = singleHeader(request, settings.http().keyHeader());
    ApiKey apiKey = key == null ? null : settings.apiKeys().get(key);
    if (apiKey == null) {
      request.response().putHeader("www-authenticate", "ApiKey");
      throw new ProblemException(
          401,
          "key",
          "No valid key",
          "Send a key in the field " + settings.http().keyHeader() + ".");
    }
    return apiKey;
  }

  private Route findRoute(HttpServerRequest request, String path) {
    for (Route route : settings.routes()) {
      if (route.matches(request.method().name(), path)) {
        return route;
      }
    }
    throw new ProblemException(
        404, "route", "No such route", "Nothing is served at this method and path.");
  }

  private static void checkIdempotencyKey(HttpServerRequest request, RequestClass requestClass) {
    String key = singleHeader(request, "idempotency-key");
    if (key == null && requestClass.idempotency() == Idempotency.DEDUPLICATED) {
      throw new ProblemException(
          400, "idempotency-key", "Idempotency-Key is missing", "Requests of this class need one.");
    }
    if (key != null && !STRUCTURED_STRING.matcher(key).matches()) {
      throw new ProblemException(
          400,
          "idempotency-key",
          "Idempotency-Key cannot be read",
          "Send a structured-field string, in double quotes, of 1 to 255 characters.");
    }
  }

  private long timeoutMicros(HttpServerRequest request, RequestClass requestClass) {
    long deadlineMillis = requestClass.deadlineMicros() / 1_000;
    long timeoutMillis = positiveInteger(request, settings.http().deadlineHeader(), deadlineMillis);
    return Math.min(requestClass.deadlineMicros(), timeoutMillis * 1_000);
  }

  private MultiMap forwardedHeaders(HttpServerRequest request) {
    MultiMap headers = ForwardedHeaders.filter(request.headers(), gatewayHeaders);
    String protocol = request.version().alpnName().startsWith("h2") ? "2" : "1.1";
    headers.add("via", protocol + " fawndock");
    return headers;
  }

  private double units(HttpServerRequest request) {
    String name = settings.http().unitsHeader();
    String text = name.isEmpty() ? null : singleHeader(request, name);
    if (text == null) {
      return 1;
    }
    if (DECIMAL.matcher(text).matches()) {
      double units = Double.parseDouble(text);
      if (units > 0 && units <= settings.http().maxUnits()) {
        return units;
      }
    }
    throw new ProblemException(
        400,
        "field",
        "A field cannot be read",
        name + " is a number above 0 and at most " + settings.http().maxUnits() + ".");
  }

  private static long positiveInteger(HttpServerRequest request, String name, long defaultValue) {
    String text = name.isEmpty() ? null : singleHeader(request, name);
    if (text == null) {
      return defaultValue;
    }
    if (!POSITIVE_INTEGER.matcher(text).matches()) {
      throw new ProblemException(
          400, "field", "A field cannot be read", name + " is a whole number above 0.");
    }
    return Long.parseLong(text);
  }

  private static String singleHeader(HttpServerRequest request, String name) {
    List<String> values = request.headers().getAll(name);
    if (values.size() > 1) {
      throw new ProblemException(400, "field", "A field stands twice", "Send " + name + " once.");
    }
    return values.isEmpty() ? null : values.get(0);
  }
}
