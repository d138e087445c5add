package fawndock.gateway;

import fawndock.policy.config.Idempotency;
import fawndock.policy.config.Plan;
import fawndock.policy.config.RequestClass;
import fawndock.runtime.PolicyRunner;
import fawndock.runtime.ServerExchange.RequestAttributes;
import fawndock.runtime.Timers;
import fawndock.settings.GatewaySettings;
import fawndock.settings.GatewaySettings.ApiKey;
import fawndock.settings.GatewaySettings.Route;
import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpVersion;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.regex.Pattern;

/**
 * Turns a client's HTTP request into one for the gatekeeper: method and path give the class, the
 * key gives customer and plan, a header field gives the time that the client has left. What cannot
 * be turned into one is answered here and never counted.
 */
final class HttpServerListener {
  private static final Pattern STRUCTURED_STRING =
      Pattern.compile("\"(?:[ !#-\\[\\]-~]|\\\\[\"\\\\]){1,255}\"");
  private static final Pattern DOT_SEGMENT =
      Pattern.compile("(?i)(^|/)(\\.|%2e){1,2}(/|$)|%2f|%5c|\\\\");
  private static final Pattern NUMBER = Pattern.compile("0*[1-9][0-9]{0,8}");
  private static final Pattern DECIMAL = Pattern.compile("[0-9]{1,9}(\\.[0-9]{1,6})?");
  private static final Pattern LENGTH = Pattern.compile("[0-9]{1,18}");
  private final GatewaySettings settings;
  private final PolicyRunner host;
  private final AccessLog answerLog;
  private final Map<String, RequestClass> classes = new HashMap<>();
  private final Map<String, Plan> plans = new HashMap<>();

  /** Fields that do not go on to a worker. */
  private final Set<String> kept = new HashSet<>();

  HttpServerListener(GatewaySettings settings, PolicyRunner host, AccessLog answerLog) {
    this.settings = settings;
    this.host = host;
    this.answerLog = answerLog;
    for (String name :
        List.of(
            settings.http().keyHeader(),
            settings.http().deadlineHeader(),
            settings.http().attemptHeader(),
            "content-length")) {
      kept.add(name.toLowerCase(Locale.ROOT));
    }
    settings.classes().forEach(c -> classes.put(c.name(), c));
    settings.plans().forEach(p -> plans.put(p.name(), p));
  }

  void handle(HttpServerRequest request) {
    long arrivedAt = host.clock().now();
    try {
      read(request, arrivedAt);
    } catch (Unfit e) {
      turnAway(request, e.problem);
    }
  }

  /** A request that cannot be given to the gatekeeper. */
  private static final class Unfit extends RuntimeException {
    private static final long serialVersionUID = 1;
    private final transient ProblemDetails problem;

    Unfit(int status, String type, String title, String detail) {
      super(detail, null, false, false);
      this.problem = new ProblemDetails(status, type, title, detail);
    }
  }

  private void read(HttpServerRequest request, long arrivedAt) {
    String path = request.path();
    if (path == null || DOT_SEGMENT.matcher(path).find()) {
      throw new Unfit(400, "path", "Path cannot be read", "Send it without dot segments.");
    }
    String key = one(request, settings.http().keyHeader());
    ApiKey holder = key == null ? null : settings.apiKeys().get(key);
    if (holder == null) {
      request.response().putHeader("www-authenticate", "ApiKey");
      throw new Unfit(
          401,
          "key",
          "No valid key",
          "Send a key in the field " + settings.http().keyHeader() + ".");
    }
    Route route = null;
    for (Route each : settings.routes()) {
      if (each.matches(request.method().name(), path)) {
        route = each;
        break;
      }
    }
    if (route == null) {
      throw new Unfit(404, "route", "No such route", "Nothing is served at this method and path.");
    }
    RequestClass type = classes.get(route.requestClass());
    idempotencyKey(request, type);
    long left =
        Math.min(
            type.deadlineMicros(),
            millis(request, settings.http().deadlineHeader(), type.deadlineMicros() / 1_000)
                * 1_000);
    boolean repeat = millis(request, settings.http().attemptHeader(), 1) > 1;
    int spread =
        holder.customerInstanceCount() == 0 ? settings.fleetSize() : holder.customerInstanceCount();
    MultiMap headers = ForwardedHeaders.filter(request.headers(), kept);
    headers.add("via", (request.version().alpnName().startsWith("h2") ? "2" : "1.1") + " fawndock");
    String label = request.getHeader("x-request-id");
    RequestAttributes asked =
        new RequestAttributes(
            type,
            holder.plan(),
            holder.customer(),
            arrivedAt,
            arrivedAt + left,
            units(request),
            spread,
            holder.customerFirstInstance(),
            repeat,
            label == null ? "" : label.substring(0, Math.min(64, label.length())));
    collect(
        request,
        asked,
        new ForwardedRequest(request.method(), request.uri(), headers, Buffer.buffer()));
  }

  private void idempotencyKey(HttpServerRequest request, RequestClass type) {
    String key = one(request, "idempotency-key");
    if (key == null && type.idempotency() == Idempotency.DEDUPLICATED) {
      throw new Unfit(
          400, "idempotency-key", "Idempotency-Key is missing", "Requests of this class need one.");
    }
    if (key != null && !STRUCTURED_STRING.matcher(key).matches()) {
      throw new Unfit(
          400,
          "idempotency-key",
          "Idempotency-Key cannot be read",
          "Send a structured-field string, in double quotes, of 1 to 255 characters.");
    }
  }

  private double units(HttpServerRequest request) {
    String name = settings.http().unitsHeader();
    String text = name.isEmpty() ? null : one(request, name);
    if (text == null) {
      return 1;
    }
    if (DECIMAL.matcher(text).matches()) {
      double units = Double.parseDouble(text);
      if (units > 0 && units <= settings.http().maxUnits()) {
        return units;
      }
    }
    throw new Unfit(
        400,
        "field",
        "A field cannot be read",
        name + " is a number above 0 and at most " + settings.http().maxUnits() + ".");
  }

  private static long millis(HttpServerRequest request, String name, long otherwise) {
    String text = name.isEmpty() ? null : one(request, name);
    if (text == null) {
      return otherwise;
    }
    if (!NUMBER.matcher(text).matches()) {
      throw new Unfit(400, "field", "A field cannot be read", name + " is a whole number above 0.");
    }
    return Long.parseLong(text);
  }

  private static String one(HttpServerRequest request, String name) {
    List<String> all = request.headers().getAll(name);
    if (all.size() > 1) {
      throw new Unfit(400, "field", "A field stands twice", "Send " + name + " once.");
    }
    return all.isEmpty() ? null : all.get(0);
  }

  /** Takes in the body, which a repeat may need again, up to the stated size. */
  private void collect(HttpServerRequest request, RequestAttributes asked, ForwardedRequest sent) {
    int limit = settings.http().maxRequestBodyBytes();
    String length = request.getHeader("content-length");
    if (length != null && (!LENGTH.matcher(length).matches() || Long.parseLong(length) > limit)) {
      throw tooLarge(limit);
    }
    if (length == null
        && request.version() != HttpVersion.HTTP_2
        && !request.headers().contains("transfer-encoding")) {
      enter(request, asked, sent); // No body can come (RFC 9112, 6.3).
      return;
    }
    boolean[] ended = {false};
    Timers.Timer late =
        host.timers()
            .schedule(
                asked.deadlineAtMicros() - host.clock().now(),
                () -> {
                  if (!ended[0]) {
                    ended[0] = true;
                    turnAway(
                        request,
                        new ProblemDetails(
                            408, "slow", "Body came too late", "The time given ran out."));
                  }
                });
    request.exceptionHandler(
        e -> {
          ended[0] = true;
          host.timers().cancel(late);
        });
    request.handler(
        part -> {
          sent.body().appendBuffer(part);
          if (!ended[0] && sent.body().length() > limit) {
            ended[0] = true;
            host.timers().cancel(late);
            turnAway(request, tooLarge(limit).problem);
          }
        });
    request.endHandler(
        end -> {
          host.timers().cancel(late);
          if (!ended[0]) {
            ended[0] = true;
            enter(request, asked, sent);
          }
        });
  }

  private static Unfit tooLarge(int limit) {
    return new Unfit(413, "size", "Body too large", "At most " + limit + " bytes are taken.");
  }

  private void enter(HttpServerRequest request, RequestAttributes asked, ForwardedRequest sent) {
    if (host.openCount() >= settings.limits().maxInFlight()) {
      request.response().putHeader("retry-after", "1");
      turnAway(
          request,
          new ProblemDetails(503, "open", "Too many open requests", "Trying again is harmless."));
      return;
    }
    long[] id = {-1};
    // Before the gatekeeper is asked: it may answer at once, and a client may be gone by then.
    request.response().closeHandler(closed -> host.onClientDisconnected(id[0]));
    request.response().exceptionHandler(e -> host.onClientDisconnected(id[0]));
    request.exceptionHandler(e -> host.onClientDisconnected(id[0]));
    id[0] = host.onRequest(new HttpExchange(request, asked, sent, plans.get(asked.plan())));
  }

  private void turnAway(HttpServerRequest request, ProblemDetails problem) {
    String label = request.getHeader("x-request-id");
    answerLog.onUncountedResponse(label == null ? "" : label, problem.status(), problem.type());
    if (problem.status() == 413 || problem.status() == 408) {
      request.response().putHeader("connection", "close");
    }
    problem.respond(request);
    request.handler(null);
  }
}
