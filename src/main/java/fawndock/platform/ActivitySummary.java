package fawndock.platform;

import fawndock.policy.event.CallResult;
import fawndock.runtime.InFlightRequest;
import fawndock.runtime.ResponseRecorder;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.Map;

/**
 * What happened since the last line of the log: ends of attempts and of counter calls, and the last
 * error told.
 */
final class ActivitySummary implements ResponseRecorder {
  private final Map<CallResult, Integer> attempts = new EnumMap<>(CallResult.class);
  private final Map<CallResult, Integer> calls = new EnumMap<>(CallResult.class);

  /** Ends and errors of each worker; as many as attempts in a few seconds had workers. */
  private final Map<String, int[]> workers = new HashMap<>();

  private final Map<RequestOutcome, Integer> answers = new EnumMap<>(RequestOutcome.class);
  private String lastError = "";
  private long waitedMicros;

  @Override
  public void onResponse(InFlightRequest request, long now, RequestOutcome verdict, String reason) {
    answers.merge(verdict, 1, Integer::sum);
  }

  void recordAttempt(String worker, CallResult how) {
    int[] ends = workers.computeIfAbsent(worker, id -> new int[2]);
    ends[0]++;
    ends[1] += how == CallResult.OK || how == CallResult.CANCELLED ? 0 : 1;
    attempts.merge(how, 1, Integer::sum);
  }

  /** A counter call has ended after so long. */
  void recordCounterCall(CallResult how, long tookMicros) {
    calls.merge(how, 1, Integer::sum);
    waitedMicros += tookMicros;
  }

  /** A worker told an error, or what it told cannot be read. */
  void recordError(String told) {
    lastError = told.length() > 80 ? told.substring(0, 80) : told;
  }

  /** Tells what happened and begins anew. */
  String summarizeAndReset() {
    int many = calls.values().stream().mapToInt(Integer::intValue).sum();
    String told =
        "answers "
            + answers
            + ", attempts "
            + attempts
            + ", counter calls "
            + calls
            + " of "
            + (many == 0 ? 0 : waitedMicros / many)
            + " us"
            + (lastError.isEmpty() ? "" : ", last error '" + lastError + "'");
    String worst = "";
    int most = 0;
    for (Map.Entry<String, int[]> each : workers.entrySet()) {
      if (each.getValue()[1] > most) {
        most = each.getValue()[1];
        worst = ", most failures at " + each.getKey() + ", " + most + " of " + each.getValue()[0];
      }
    }
    told += worst;
    workers.clear();
    answers.clear();
    attempts.clear();
    calls.clear();
    waitedMicros = 0;
    lastError = "";
    return told;
  }
}
