package fawndock.platform;

import fawndock.platformconfig.Json;
import fawndock.platformconfig.Json.JsonObject;
import fawndock.platformconfig.MalformedMessageException;
import fawndock.platformconfig.SettingsReader;
import fawndock.policy.config.PolicyConfig;
import fawndock.settings.Address;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;

/**
 * What the platform tells a gatekeeper: the file that {@code RELAY_CONFIG} names, with the
 * variables for what the file leaves out.
 *
 * @param knownEndpoints the list of workers as it was last held; may be out of date
 * @param counter where the counter listens, or null without one
 * @param maxSockets descriptors that the process may hold
 * @param connectTimeoutMicros longest time for a connection to come up
 * @param endpointIdleTimeoutMicros a worker closes a connection that is idle for so long; 0 when it
 *     says nothing
 * @param maxRequestUnits the most units of one request
 */
record PlatformConfig(
    String name,
    Address listen,
    Address discovery,
    Address counter,
    PolicyConfig policy,
    EndpointList knownEndpoints,
    int maxSockets,
    long memoryBytes,
    long connectTimeoutMicros,
    long endpointIdleTimeoutMicros,
    double maxRequestUnits) {
  private static final long LONGEST_FILE = 16 << 20;
  private static final int SOCKETS = 256;
  private static final long MEMORY_MB = 96;
  private static final long CONNECT_MICROS = 250_000;

  /**
   * A configuration that cannot be used; the message names the file, the key and what is expected.
   */
  static final class InvalidConfigException extends Exception {
    private static final long serialVersionUID = 1L;

    InvalidConfigException(String told) {
      super(told, null, false, false);
    }
  }

  /** Reads it whole, or tells what is wrong. */
  static PlatformConfig read(Map<String, String> variables) throws InvalidConfigException {
    String file = variables.get("RELAY_CONFIG");
    if (file == null || file.isBlank()) {
      throw new InvalidConfigException(
          "RELAY_CONFIG is not set: the path of the configuration is expected");
    }
    String text;
    try {
      if (Files.size(Path.of(file)) > LONGEST_FILE) {
        throw new InvalidConfigException(file + ": larger than " + LONGEST_FILE + " bytes");
      }
      text = Files.readString(Path.of(file));
    } catch (IOException e) {
      throw new InvalidConfigException(
          file + ": cannot be read (" + e + "), a JSON file is expected");
    }
    try {
      return parse(text, variables);
    } catch (IOException e) {
      throw new InvalidConfigException(
          file + ": not JSON: " + e.getMessage().lines().findFirst().orElse(""));
    } catch (MalformedMessageException | IllegalArgumentException e) {
      throw new InvalidConfigException(file + ": " + e.getMessage());
    }
  }

  private static PlatformConfig parse(String text, Map<String, String> variables)
      throws IOException {
    JsonObject o = Json.parse(text);
    JsonObject limits = o.objectOr("limits");
    JsonObject settings = o.object("settings");
    JsonObject caps = settings.objectOr("caps");
    PolicyConfig read = SettingsReader.settings(settings, seed(o.textOr("seed", "0")));
    if (read.requestClasses().isEmpty() || read.plans().isEmpty()) {
      throw new MalformedMessageException(
          "'settings' names no class or no plan; at least one of each is expected");
    }
    String counter = o.textOr("counter", "");
    return new PlatformConfig(
        o.textOr("name", variables.getOrDefault("RELAY_NAME", "gatekeeper")),
        address("listen", o.textOr("listen", variables.getOrDefault("RELAY_LISTEN", ""))),
        address("discovery", o.textOr("discovery", variables.getOrDefault("RELAY_DISCOVERY", ""))),
        counter.isEmpty() ? null : address("counter", counter),
        read,
        o.has("known") ? EndpointList.of(o.object("known")) : EndpointList.NONE,
        (int) limits.integerOr("sockets", SOCKETS),
        limits.integerOr("memory_mb", MEMORY_MB) << 20,
        caps.integerOr("connect-timeout-us", CONNECT_MICROS),
        caps.integerOr("conn-idle-us", 0),
        settings.objectOr("extra").numberOr("most-units", 1));
  }

  private static long seed(String text) {
    try {
      return Long.parseUnsignedLong(text, 16);
    } catch (NumberFormatException e) {
      throw new MalformedMessageException(
          "'seed' is '" + text + "', up to 16 hexadecimal digits are expected");
    }
  }

  /** HOST:PORT, as the platform writes it. */
  static Address address(String key, String text) {
    Address address = Address.read(text);
    if (address != null && address.port() > 0) {
      return address;
    }
    throw new MalformedMessageException("'" + key + "' is '" + text + "', HOST:PORT is expected");
  }
}
