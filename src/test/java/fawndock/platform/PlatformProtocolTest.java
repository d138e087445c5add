package fawndock.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;

import fawndock.platformconfig.Json;
import fawndock.platformconfig.StringConstants;
import fawndock.policy.action.AddToCounter;
import fawndock.policy.event.Endpoint;
import fawndock.policy.event.EndpointState;
import fawndock.settings.Address;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/**
 * Tests that the names and texts of the platform's protocols and configuration file do not change.
 */
class PlatformProtocolTest {
  @Test
  void commandNames_areThoseOfThePlatform() throws Exception {
    assertEquals(
        List.of("ADDGET", "PING", "Q.ASK", "Q.DO"),
        StringConstants.of(PlatformProtocol.class, "COMMAND_"));
  }

  @Test
  void fieldNames_areThoseOfThePlatform() throws Exception {
    assertEquals(
        StringConstants.sorted("c t d k r units spread first charged cost"),
        StringConstants.of(PlatformProtocol.class, "FIELD_"));
  }

  @Test
  void replies_areThoseOfThePlatform() throws Exception {
    assertEquals(List.of("PONG"), StringConstants.of(PlatformProtocol.class, "REPLY_"));
    assertEquals(
        List.of(
            "BUSY",
            "ERR ",
            "ERR failed",
            "ERR no answer in time",
            "ERR no memory for the rest of the command",
            "ERR stopping",
            "ERR the command did not end",
            "ERR the id is open already",
            "ERR unknown command"),
        StringConstants.of(PlatformProtocol.class, "ERROR"));
  }

  @Test
  void discoveryNames_areThoseOfThePlatform() throws Exception {
    assertEquals("/catalog/members", EndpointListCodec.SNAPSHOT_PATH);
    assertEquals("/catalog/members?stream=1&index=", EndpointListCodec.WATCH_PATH);
    assertEquals(
        StringConstants.sorted(
            "index snapshot endpoints name zone group status weight since_ms address"),
        StringConstants.of(EndpointListCodec.class, "KEY_"));
    assertEquals(
        List.of("draining", "gone", "ready"),
        StringConstants.of(EndpointListCodec.class, "STATE_"));
  }

  @Test
  void configurationKeysAndVariables_areThoseOfThePlatform() throws Exception {
    assertEquals(
        StringConstants.sorted(
            "name listen discovery counter seed known limits sockets memory_mb settings caps"
                + " connect-timeout-us conn-idle-us extra most-units"),
        StringConstants.of(PlatformConfigReader.class, "KEY_"));
    assertEquals(
        List.of("RELAY_CONFIG", "RELAY_DISCOVERY", "RELAY_LISTEN", "RELAY_NAME"),
        StringConstants.of(PlatformConfigReader.class, "VARIABLE_"));
  }

  @Test
  void eachEndpointKey_isDecodedIntoItsOwnComponent() throws Exception {
    EndpointList list =
        EndpointListCodec.decode(
            Json.parse(
                "{\"index\":7,\"snapshot\":true,\"endpoints\":[{\"name\":\"w\",\"zone\":\"z\","
                    + "\"group\":3,\"status\":\"draining\",\"weight\":0.5,\"since_ms\":4,"
                    + "\"address\":\"127.0.0.1:9\"}]}"));
    assertEquals(
        new EndpointList(
            7,
            true,
            List.of(new Endpoint("w", "z", 3, EndpointState.DRAINING, 0.5, 4_000)),
            Map.of("w", new Address("127.0.0.1", 9))),
        list);
  }

  @Test
  void counterCall_encodesNameAmountAndMilliseconds() {
    CounterCall call = new CounterCall(new AddToCounter("r7.0", 2.5, 4_000_001), 0);
    assertEquals(
        "*4\r\n$6\r\nADDGET\r\n$4\r\nr7.0\r\n$3\r\n2.5\r\n$4\r\n4001\r\n",
        call.encode().toString(StandardCharsets.US_ASCII));
  }
}
