package fawndock.benchlink;

import com.fasterxml.jackson.core.JsonGenerator;
import fawndock.Gatekeeper.Action;
import fawndock.Gatekeeper.Attempt;
import fawndock.Gatekeeper.Cancel;
import fawndock.Gatekeeper.Count;
import fawndock.Gatekeeper.Fail;
import fawndock.Gatekeeper.Fetch;
import fawndock.Gatekeeper.Note;
import fawndock.Gatekeeper.Probe;
import fawndock.Gatekeeper.Refuse;
import fawndock.Gatekeeper.Tell;
import fawndock.Gatekeeper.WakeAfter;
import fawndock.Gatekeeper.Watch;
import java.io.IOException;

/** Translates the interface's actions into the wire's. */
final class Writer {
  private final JsonGenerator json;

  Writer(JsonGenerator json) {
    this.json = json;
  }

  void write(int instance, Action action) throws IOException {
    if (action instanceof Attempt a) {
      begin("Route", instance);
      json.writeNumberField("op-id", a.requestId());
      json.writeStringField("worker", a.server());
      json.writeNumberField("abandon-at-us", a.abandonAtMicros());
    } else if (action instanceof Refuse a) {
      begin("Decline", instance);
      json.writeNumberField("op-id", a.requestId());
      json.writeNumberField("retry-after-us", a.retryAfterMicros());
    } else if (action instanceof Fail a) {
      begin("Error", instance);
      json.writeNumberField("op-id", a.requestId());
    } else if (action instanceof Count a) {
      begin("Incr", instance);
      json.writeStringField("book", a.name());
      json.writeNumberField("by", a.amount());
      json.writeNumberField("keep-for-us", a.keepMicros());
    } else if (action instanceof WakeAfter a) {
      begin("SetAlarm", instance);
      json.writeNumberField("span-us", a.micros());
      json.writeStringField("cookie", a.token());
    } else if (action instanceof Cancel a) {
      begin("Cancel", instance);
      json.writeNumberField("op-id", a.requestId());
      json.writeNumberField("try", a.attempt());
    } else if (action instanceof Probe a) {
      begin("HealthCheck", instance);
      json.writeStringField("worker", a.server());
    } else if (action instanceof Tell a) {
      tell(instance, a);
    } else if (action instanceof Fetch) {
      begin("Refresh", instance);
    } else if (action instanceof Watch) {
      begin("Subscribe", instance);
      json.writeBooleanField("active", true);
    } else if (action instanceof Note a) {
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

  private void tell(int instance, Tell a) throws IOException {
    begin("Tell", instance);
    if (a.to() < 0) {
      json.writeStringField("dest", "*");
    } else {
      json.writeNumberField("dest", a.to());
    }
    json.writeStringField("body", a.text());
  }

  private void begin(String what, int instance) throws IOException {
    json.writeStartObject();
    json.writeStringField("what", what);
    json.writeNumberField("i", instance);
  }
}
