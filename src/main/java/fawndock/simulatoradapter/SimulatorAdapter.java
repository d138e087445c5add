package fawndock.simulatoradapter;

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
 * Hosts many gatekeepers on the simulator's wire: one line of events in, one line of actions out.
 */
public final class SimulatorAdapter {
  private static final int MALFORMED = 1;
  private final JsonFactory factory = new JsonFactory();
  private final Map<Integer, GatewayPolicy> policies = new TreeMap<>();
  private final Function<PolicyConfig, GatewayPolicy> policyFactory;

  /** Hosts the project's own module. */
  public SimulatorAdapter() {
    this(DefaultGatewayPolicy::new);
  }

  /** Hosts the gatekeepers that the maker makes. */
  SimulatorAdapter(Function<PolicyConfig, GatewayPolicy> maker) {
    this.policyFactory = maker;
  }

  /** Answers each line until the input ends; returns the exit code. */
  public int run(InputStream in, OutputStream out, PrintStream err) throws IOException {
    BufferedReader lines = new BufferedReader(new InputStreamReader(in, StandardCharsets.UTF_8));
    BufferedWriter replies =
        new BufferedWriter(new OutputStreamWriter(out, StandardCharsets.UTF_8));
    long number = 0;
    for (String line = lines.readLine(); line != null; line = lines.readLine()) {
      number++;
      String reply;
      try {
        reply = reply(line);
      } catch (JsonProcessingException e) {
        err.println(
            "line "
                + number
                + ": malformed JSON: "
                + e.getOriginalMessage().lines().findFirst().orElse(""));
        return MALFORMED;
      } catch (MalformedMessageException e) {
        err.println("line " + number + ": " + e.getMessage());
        return MALFORMED;
      }
      replies.write(reply);
      replies.write('\n');
      replies.flush();
    }
    return 0;
  }

  private String reply(String line) throws IOException {
    JsonObject batch = Json.parse(line);
    long now = batch.integer("now-us");
    StringWriter text = new StringWriter();
    try (JsonGenerator json = factory.createGenerator(text)) {
      json.writeStartObject();
      json.writeArrayFieldStart("output");
      SimulatorActionWriter writer = new SimulatorActionWriter(json);
      for (JsonObject event : batch.objects("happened")) {
        answer(now, event, writer);
      }
      json.writeEndArray();
      json.writeEndObject();
    }
    return text.toString();
  }

  private void answer(long now, JsonObject event, SimulatorActionWriter writer) throws IOException {
    String what = event.text("what");
    int instance = (int) event.integer("i");
    if (what.equals("Killed")) {
      policies.remove(instance);
      return;
    }
    PolicyConfig settings =
        what.equals("Attach")
            ? SettingsReader.settings(event.object("options"), event.integerOr("rng-seed", 0))
            : null;
    PolicyEvent translated = settings == null ? SimulatorEventReader.event(what, event) : null;
    try {
      if (settings != null) {
        policies.put(instance, policyFactory.apply(settings));
        return;
      }
      GatewayPolicy gatekeeper = policies.get(instance);
      if (gatekeeper == null) {
        return;
      }
      for (PolicyAction action : gatekeeper.onEvent(now, translated)) {
        writer.write(instance, action);
      }
    } catch (RuntimeException | StackOverflowError e) {
      writer.exception(instance, e);
    }
  }
}
