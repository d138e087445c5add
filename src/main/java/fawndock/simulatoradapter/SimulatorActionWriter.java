package fawndock.simulatoradapter;

import com.fasterxml.jackson.core.JsonGenerator;
import fawndock.policy.action.AddToCounter;
import fawndock.policy.action.CancelAttempt;
import fawndock.policy.action.FailRequest;
import fawndock.policy.action.FetchEndpoints;
import fawndock.policy.action.LogMessage;
import fawndock.policy.action.PolicyAction;
import fawndock.policy.action.RejectRequest;
import fawndock.policy.action.ScheduleTimer;
import fawndock.policy.action.SendPeerMessage;
import fawndock.policy.action.StartAttempt;
import fawndock.policy.action.StartHealthCheck;
import fawndock.policy.action.WatchEndpoints;
import java.io.IOException;

/** Translates the interface's actions into the wire's. */
final class SimulatorActionWriter {
  private final JsonGenerator json;

  SimulatorActionWriter(JsonGenerator json) {
    this.json = json;
  }

  void write(int instance, PolicyAction action) throws IOException {
    if (action instanceof StartAttempt a) {
      begin("Route", instance);
      json.writeNumberField("op-id", a.requestId());
      json.writeStringField("worker", a.endpointId());
      json.writeNumberField("abandon-at-us", a.deadlineAtMicros());
    } else if (action instanceof RejectRequest a) {
      begin("Decline", instance);
      json.writeNumberField("op-id", a.requestId());
      json.writeNumberField("retry-after-us", a.retryAfterMicros());
    } else if (action instanceof FailRequest a) {
      begin("Error", instance);
      json.writeNumberField("op-id", a.requestId());
    } else if (action instanceof AddToCounter a) {
      begin("Incr", instance);
      json.writeStringField("book", a.counterName());
      json.writeNumberField("by", a.amount());
      json.writeNumberField("keep-for-us", a.timeToLiveMicros());
    } else if (action instanceof ScheduleTimer a) {
      begin("SetAlarm", instance);
      json.writeNumberField("span-us", a.delayMicros());
      json.writeStringField("cookie", TimerCodec.encode(a.timer()));
    } else if (action instanceof CancelAttempt a) {
      begin("Cancel", instance);
      json.writeNumberField("op-id", a.requestId());
      json.writeNumberField("try", a.attemptIndex());
    } else if (action instanceof StartHealthCheck a) {
      begin("HealthCheck", instance);
      json.writeStringField("worker", a.endpointId());
    } else if (action instanceof SendPeerMessage a) {
      tell(instance, a);
    } else if (action instanceof FetchEndpoints) {
      begin("Refresh", instance);
    } else if (action instanceof WatchEndpoints) {
      begin("Subscribe", instance);
      json.writeBooleanField("active", true);
    } else if (action instanceof LogMessage a) {
      begin("Remark", instance);
      json.writeStringField("text", a.text());
    }
    json.writeEndObject();
  }

  void exception(int instance, Throwable cause) throws IOException {
    begin("Exception", instance);
    json.writeStringField("text", String.valueOf(cause));
    json.writeEndObject();
  }

  private void tell(int instance, SendPeerMessage a) throws IOException {
    begin("Tell", instance);
    if (a.toInstance() < 0) {
      json.writeStringField("dest", "*");
    } else {
      json.writeNumberField("dest", a.toInstance());
    }
    json.writeStringField("body", a.text());
  }

  private void begin(String what, int instance) throws IOException {
    json.writeStartObject();
    json.writeStringField("what", what);
    json.writeNumberField("i", instance);
  }
}
