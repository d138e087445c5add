package fawndock.platform;

import fawndock.policy.event.CallResult;
import fawndock.runtime.InFlightRequest;
import fawndock.runtime.ResponseRecorder;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.Map;

/**
 * Counts responses, attempts and counter calls between two summaries, for the periodic activity log
 * line. Confined to one event loop.
 */
final class ActivitySummary implements ResponseRecorder {
  private static final int MAX_ERROR_CHARACTERS = 80;

  /** Numbers of attempts at one endpoint. */
  private static final class EndpointAttempts {
    private int completed;
    private int failed;
  }

  private final Map<RequestOutcome, Integer> responses = new EnumMap<>(RequestOutcome.class);
  private final Map<CallResult, Integer> attempts = new EnumMap<>(CallResult.class);
  private final Map<CallResult, Integer> counterCalls = new EnumMap<>(CallResult.class);

  /** Holds only endpoints with attempts since the last summary, so that the map stays small. */
  private final Map<String, EndpointAttempts> attemptsByEndpoint = new HashMap<>();

  private String lastError = "";
  private long counterCallMicros;

  @Override
  public void onResponse(
      InFlightRequest request, long nowMicros, RequestOutcome outcome, String reason) {
    responses.merge(outcome, 1, Integer::sum);
  }

  void recordAttempt(String endpointId, CallResult result) {
    EndpointAttempts endpoint =
        attemptsByEndpoint.computeIfAbsent(endpointId, id -> new EndpointAttempts());
    endpoint.completed++;
    if (result != CallResult.OK && result != CallResult.CANCELLED) {
      endpoint.failed++;
    }
    attempts.merge(result, 1, Integer::sum);
  }

  void recordCounterCall(CallResult result, long durationMicros) {
    counterCalls.merge(result, 1, Integer::sum);
    counterCallMicros += durationMicros;
  }

  /** Records an endpoint's error reply, or the reason why a reply is malformed. */
  void recordError(String error) {
    lastError =
        error.length() > MAX_ERROR_CHARACTERS ? error.substring(0, MAX_ERROR_CHARACTERS) : error;
  }

  /** Returns the summary as fields of a log line, and resets all counts. */
  String summarizeAndReset() {
    String summary =
        "responses="
            + responses
            + ", attempts="
            + attempts
            + ", counterCalls="
            + counterCalls
            + ", counterMeanMicros="
            + meanCounterCallMicros()
            + (lastError.isEmpty() ? "" : ", lastError='" + lastError + "'")
            + describeMostFailures();
    responses.clear();
    attempts.clear();
    counterCalls.clear();
    attemptsByEndpoint.clear();
    counterCallMicros = 0;
    lastError = "";
    return summary;
  }

  private long meanCounterCallMicros() {
    int calls = counterCalls.values().stream().mapToInt(Integer::intValue).sum();
    return calls == 0 ? 0 : counterCallMicros / calls;
  }

  private String describeMostFailures() {
    String worstEndpointId = null;
    EndpointAttempts worst = new EndpointAttempts();
    for (Map.Entry<String, EndpointAttempts> entry : attemptsByEndpoint.entrySet()) {
      if (entry.getValue().failed > worst.failed) {
        worstEndpointId = entry.getKey();
        worst = entry.getValue();
      }
    }
    return worstEndpointId == null
        ? ""
        : ", mostFailures="
            + worstEndpointId
            + " ("
            + worst.failed
            + " of "
            + worst.completed
            + ")";
  }
}
