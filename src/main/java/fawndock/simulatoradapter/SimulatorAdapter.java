package fawndock.simulatoradapter;

import static fawndock.simulatoradapter.SimulatorProtocol.EVENT_ATTACH;
import static fawndock.simulatoradapter.SimulatorProtocol.EVENT_KILLED;
import static fawndock.simulatoradapter.SimulatorProtocol.FIELD_ACTIONS;
import static fawndock.simulatoradapter.SimulatorProtocol.FIELD_EVENTS;
import static fawndock.simulatoradapter.SimulatorProtocol.FIELD_INSTANCE;
import static fawndock.simulatoradapter.SimulatorProtocol.FIELD_NOW_MICROS;
import static fawndock.simulatoradapter.SimulatorProtocol.FIELD_RANDOM_SEED;
import static fawndock.simulatoradapter.SimulatorProtocol.FIELD_SETTINGS;
import static fawndock.simulatoradapter.SimulatorProtocol.FIELD_TYPE;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonProcessingException;
import fawndock.platformconfig.Json;
import fawndock.platformconfig.Json.JsonObject;
import fawndock.platformconfig.MalformedMessageException;
import fawndock.platformconfig.SettingsReader;
import fawndock.policy.DefaultGatewayPolicy;
import fawndock.policy.GatewayPolicy;
import fawndock.policy.action.PolicyAction;
import fawndock.policy.config.PolicyConfig;
import fawndock.policy.event.PolicyEvent;
import java.io.BufferedReader;
import java.io.BufferedWriter;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.io.OutputStreamWriter;
import java.io.PrintStream;
import java.io.StringWriter;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Function;

/**
 * Runs the policies of many gateway instances for the external simulator: it reads one line of
 * events and writes one line of actions in reply. Not thread-safe.
 */
public final class SimulatorAdapter {
  private static final int EXIT_END_OF_INPUT = 0;
  private static final int EXIT_MALFORMED_INPUT = 1;

  private final JsonFactory jsonFactory = new JsonFactory();
  private final Map<Integer, GatewayPolicy> policies = new TreeMap<>();
  private final Function<PolicyConfig, GatewayPolicy> policyFactory;

  /** Creates an adapter that runs {@link DefaultGatewayPolicy}. */
  public SimulatorAdapter() {
    this(DefaultGatewayPolicy::new);
  }

  /** Creates an adapter that runs the policies that the factory creates. */
  SimulatorAdapter(Function<PolicyConfig, GatewayPolicy> policyFactory) {
    this.policyFactory = policyFactory;
  }

  /**
   * Replies to each line until the input ends or a line is malformed; a malformed line is reported
   * on {@code err} in one line.
   *
   * @return the exit code
   */
  public int run(InputStream in, OutputStream out, PrintStream err) throws IOException {
    BufferedReader lines = new BufferedReader(new InputStreamReader(in, StandardCharsets.UTF_8));
    BufferedWriter replies =
        new BufferedWriter(new OutputStreamWriter(out, StandardCharsets.UTF_8));
    long lineNumber = 0;
    for (String line = lines.readLine(); line != null; line = lines.readLine()) {
      lineNumber++;
      String reply;
      try {
        reply = processLine(line);
      } catch (JsonProcessingException e) {
        String problem = e.getOriginalMessage().lines().findFirst().orElse("");
        err.println("line " + lineNumber + ": malformed JSON: " + problem);
        return EXIT_MALFORMED_INPUT;
      } catch (MalformedMessageException e) {
        err.println("line " + lineNumber + ": " + e.getMessage());
        return EXIT_MALFORMED_INPUT;
      }
      replies.write(reply);
      replies.write('\n');
      replies.flush();
    }
    return EXIT_END_OF_INPUT;
  }

  private String processLine(String line) throws IOException {
    JsonObject batch = Json.parse(line);
    long nowMicros = batch.integer(FIELD_NOW_MICROS);
    StringWriter reply = new StringWriter();
    try (JsonGenerator json = jsonFactory.createGenerator(reply)) {
      json.writeStartObject();
      json.writeArrayFieldStart(FIELD_ACTIONS);
      SimulatorActionWriter writer = new SimulatorActionWriter(json);
      for (JsonObject event : batch.objects(FIELD_EVENTS)) {
        processEvent(nowMicros, event, writer);
      }
      json.writeEndArray();
      json.writeEndObject();
    }
    return reply.toString();
  }

  private void processEvent(long nowMicros, JsonObject event, SimulatorActionWriter writer)
      throws IOException {
    String type = event.text(FIELD_TYPE);
    int instance = (int) event.integer(FIELD_INSTANCE);
    switch (type) {
      case EVENT_KILLED -> policies.remove(instance);
      case EVENT_ATTACH -> {
        PolicyConfig config =
            SettingsReader.readPolicyConfig(
                event.object(FIELD_SETTINGS), event.integerOr(FIELD_RANDOM_SEED, 0));
        attach(instance, config, writer);
      }
      default -> dispatch(nowMicros, instance, SimulatorEventReader.decode(type, event), writer);
    }
  }

  private void attach(int instance, PolicyConfig config, SimulatorActionWriter writer)
      throws IOException {
    try {
      policies.put(instance, policyFactory.apply(config));
    } catch (RuntimeException | StackOverflowError e) {
      writer.writeException(instance, e); // The simulator evaluates policies that throw exceptions.
    }
  }

  private void dispatch(
      long nowMicros, int instance, PolicyEvent event, SimulatorActionWriter writer)
      throws IOException {
    GatewayPolicy policy = policies.get(instance);
    if (policy == null) {
      return;
    }
    try {
      for (PolicyAction action : policy.onEvent(nowMicros, event)) {
        writer.write(instance, action);
      }
    } catch (RuntimeException | StackOverflowError e) {
      writer.writeException(instance, e); // The simulator evaluates policies that throw exceptions.
    }
  }
}
