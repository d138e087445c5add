package fawndock.simulatoradapter;

import static fawndock.simulatoradapter.SimulatorProtocol.ACTION_ADD_TO_COUNTER;
import static fawndock.simulatoradapter.SimulatorProtocol.ACTION_CANCEL_ATTEMPT;
import static fawndock.simulatoradapter.SimulatorProtocol.ACTION_EXCEPTION;
import static fawndock.simulatoradapter.SimulatorProtocol.ACTION_FAIL_REQUEST;
import static fawndock.simulatoradapter.SimulatorProtocol.ACTION_FETCH_ENDPOINTS;
import static fawndock.simulatoradapter.SimulatorProtocol.ACTION_LOG_MESSAGE;
import static fawndock.simulatoradapter.SimulatorProtocol.ACTION_REJECT_REQUEST;
import static fawndock.simulatoradapter.SimulatorProtocol.ACTION_SCHEDULE_TIMER;
import static fawndock.simulatoradapter.SimulatorProtocol.ACTION_SEND_PEER_MESSAGE;
import static fawndock.simulatoradapter.SimulatorProtocol.ACTION_START_ATTEMPT;
import static fawndock.simulatoradapter.SimulatorProtocol.ACTION_START_HEALTH_CHECK;
import static fawndock.simulatoradapter.SimulatorProtocol.ACTION_WATCH_ENDPOINTS;
import static fawndock.simulatoradapter.SimulatorProtocol.ALL_PEERS;
import static fawndock.simulatoradapter.SimulatorProtocol.FIELD_AMOUNT;
import static fawndock.simulatoradapter.SimulatorProtocol.FIELD_ATTEMPT_DEADLINE_MICROS;
import static fawndock.simulatoradapter.SimulatorProtocol.FIELD_ATTEMPT_INDEX;
import static fawndock.simulatoradapter.SimulatorProtocol.FIELD_COUNTER;
import static fawndock.simulatoradapter.SimulatorProtocol.FIELD_ENDPOINT;
import static fawndock.simulatoradapter.SimulatorProtocol.FIELD_INSTANCE;
import static fawndock.simulatoradapter.SimulatorProtocol.FIELD_IS_WATCHING;
import static fawndock.simulatoradapter.SimulatorProtocol.FIELD_MESSAGE;
import static fawndock.simulatoradapter.SimulatorProtocol.FIELD_RECEIVER;
import static fawndock.simulatoradapter.SimulatorProtocol.FIELD_REQUEST_ID;
import static fawndock.simulatoradapter.SimulatorProtocol.FIELD_RETRY_AFTER_MICROS;
import static fawndock.simulatoradapter.SimulatorProtocol.FIELD_TEXT;
import static fawndock.simulatoradapter.SimulatorProtocol.FIELD_TIMER;
import static fawndock.simulatoradapter.SimulatorProtocol.FIELD_TIMER_DELAY_MICROS;
import static fawndock.simulatoradapter.SimulatorProtocol.FIELD_TIME_TO_LIVE_MICROS;
import static fawndock.simulatoradapter.SimulatorProtocol.FIELD_TYPE;

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

/** Encodes actions of the policy in the simulator's line protocol. Not thread-safe. */
final class SimulatorActionWriter {
  private final JsonGenerator json;

  SimulatorActionWriter(JsonGenerator json) {
    this.json = json;
  }

  /** Writes an action of an instance's policy as one JSON object. */
  void write(int instance, PolicyAction action) throws IOException {
    if (action instanceof StartAttempt a) {
      begin(ACTION_START_ATTEMPT, instance);
      json.writeNumberField(FIELD_REQUEST_ID, a.requestId());
      json.writeStringField(FIELD_ENDPOINT, a.endpointId());
      json.writeNumberField(FIELD_ATTEMPT_DEADLINE_MICROS, a.deadlineAtMicros());
    } else if (action instanceof RejectRequest a) {
      begin(ACTION_REJECT_REQUEST, instance);
      json.writeNumberField(FIELD_REQUEST_ID, a.requestId());
      json.writeNumberField(FIELD_RETRY_AFTER_MICROS, a.retryAfterMicros());
    } else if (action instanceof FailRequest a) {
      begin(ACTION_FAIL_REQUEST, instance);
      json.writeNumberField(FIELD_REQUEST_ID, a.requestId());
    } else if (action instanceof AddToCounter a) {
      begin(ACTION_ADD_TO_COUNTER, instance);
      json.writeStringField(FIELD_COUNTER, a.counterName());
      json.writeNumberField(FIELD_AMOUNT, a.amount());
      json.writeNumberField(FIELD_TIME_TO_LIVE_MICROS, a.timeToLiveMicros());
    } else if (action instanceof ScheduleTimer a) {
      begin(ACTION_SCHEDULE_TIMER, instance);
      json.writeNumberField(FIELD_TIMER_DELAY_MICROS, a.delayMicros());
      json.writeStringField(FIELD_TIMER, TimerCodec.encode(a.timer()));
    } else if (action instanceof CancelAttempt a) {
      begin(ACTION_CANCEL_ATTEMPT, instance);
      json.writeNumberField(FIELD_REQUEST_ID, a.requestId());
      json.writeNumberField(FIELD_ATTEMPT_INDEX, a.attemptIndex());
    } else if (action instanceof StartHealthCheck a) {
      begin(ACTION_START_HEALTH_CHECK, instance);
      json.writeStringField(FIELD_ENDPOINT, a.endpointId());
    } else if (action instanceof SendPeerMessage a) {
      writePeerMessage(instance, a);
    } else if (action instanceof FetchEndpoints) {
      begin(ACTION_FETCH_ENDPOINTS, instance);
    } else if (action instanceof WatchEndpoints) {
      begin(ACTION_WATCH_ENDPOINTS, instance);
      json.writeBooleanField(FIELD_IS_WATCHING, true);
    } else if (action instanceof LogMessage a) {
      begin(ACTION_LOG_MESSAGE, instance);
      json.writeStringField(FIELD_TEXT, a.text());
    }
    json.writeEndObject();
  }

  /** Writes an action that reports an exception of an instance's policy. */
  void writeException(int instance, Throwable cause) throws IOException {
    begin(ACTION_EXCEPTION, instance);
    json.writeStringField(FIELD_TEXT, String.valueOf(cause));
    json.writeEndObject();
  }

  private void writePeerMessage(int instance, SendPeerMessage action) throws IOException {
    begin(ACTION_SEND_PEER_MESSAGE, instance);
    if (action.toInstance() < 0) {
      json.writeStringField(FIELD_RECEIVER, ALL_PEERS);
    } else {
      json.writeNumberField(FIELD_RECEIVER, action.toInstance());
    }
    json.writeStringField(FIELD_MESSAGE, action.text());
  }

  private void begin(String type, int instance) throws IOException {
    json.writeStartObject();
    json.writeStringField(FIELD_TYPE, type);
    json.writeNumberField(FIELD_INSTANCE, instance);
  }
}
