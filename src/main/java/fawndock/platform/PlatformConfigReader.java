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
 * Reads the configuration file that the platform writes; environment variables supply values for
 * keys that the file omits. A file with any invalid value is rejected as a whole. Stateless.
 */
final class PlatformConfigReader {
  // Environment variables.
  static final String VARIABLE_CONFIG_FILE = "RELAY_CONFIG";
  static final String VARIABLE_NAME = "RELAY_NAME";
  static final String VARIABLE_LISTEN = "RELAY_LISTEN";
  static final String VARIABLE_DISCOVERY = "RELAY_DISCOVERY";

  // Keys of the file. SettingsReader defines the other keys within KEY_POLICY, which concern the
  // policy.
  static final String KEY_NAME = "name";
  static final String KEY_LISTEN = "listen";
  static final String KEY_DISCOVERY = "discovery";
  static final String KEY_COUNTER = "counter";
  static final String KEY_RANDOM_SEED = "seed";
  static final String KEY_KNOWN_ENDPOINTS = "known";
  static final String KEY_LIMITS = "limits";
  static final String KEY_MAX_SOCKETS = "sockets";
  static final String KEY_MEMORY_MEGABYTES = "memory_mb";
  static final String KEY_POLICY = "settings";
  static final String KEY_POLICY_LIMITS = "caps";
  static final String KEY_CONNECT_TIMEOUT_MICROS = "connect-timeout-us";
  static final String KEY_ENDPOINT_IDLE_TIMEOUT_MICROS = "conn-idle-us";
  static final String KEY_POLICY_EXTRAS = "extra";
  static final String KEY_MAX_REQUEST_UNITS = "most-units";

  private static final long MAX_FILE_BYTES = 16 << 20;
  private static final int DEFAULT_MAX_SOCKETS = 256;
  private static final long DEFAULT_MEMORY_MEGABYTES = 96;
  private static final long DEFAULT_CONNECT_TIMEOUT_MICROS = 250_000;

  private PlatformConfigReader() {}

  /**
   * Reads the file whose path is the value of {@link #VARIABLE_CONFIG_FILE}.
   *
   * @throws InvalidConfigException if the configuration is invalid; the message names the file, the
   *     key, the value and the expected form
   */
  static PlatformConfig read(Map<String, String> environment) throws InvalidConfigException {
    String path = environment.get(VARIABLE_CONFIG_FILE);
    if (path == null || path.isBlank()) {
      throw new InvalidConfigException(
          VARIABLE_CONFIG_FILE + " is not set: the path of the configuration is expected");
    }
    String text = readFile(path);
    try {
      return parse(text, environment);
    } catch (IOException e) {
      throw new InvalidConfigException(
          path + ": not JSON: " + e.getMessage().lines().findFirst().orElse(""));
    } catch (MalformedMessageException | IllegalArgumentException e) {
      throw new InvalidConfigException(path + ": " + e.getMessage());
    }
  }

  private static String readFile(String path) throws InvalidConfigException {
    try {
      if (Files.size(Path.of(path)) > MAX_FILE_BYTES) {
        throw new InvalidConfigException(
            path + ": file is larger than " + MAX_FILE_BYTES + " bytes");
      }
      return Files.readString(Path.of(path));
    } catch (IOException e) {
      throw new InvalidConfigException(
          path + ": cannot be read (" + e + "), a JSON file is expected");
    }
  }

  private static PlatformConfig parse(String text, Map<String, String> environment)
      throws IOException {
    JsonObject root = Json.parse(text);
    JsonObject processLimits = root.objectOrEmpty(KEY_LIMITS);
    JsonObject settings = root.object(KEY_POLICY);
    JsonObject policyLimits = settings.objectOrEmpty(KEY_POLICY_LIMITS);
    PolicyConfig policy =
        SettingsReader.readPolicyConfig(
            settings, parseRandomSeed(root.textOr(KEY_RANDOM_SEED, "0")));
    if (policy.requestClasses().isEmpty() || policy.plans().isEmpty()) {
      throw new MalformedMessageException(
          "'" + KEY_POLICY + "' names no class or no plan; at least one of each is expected");
    }
    String counter = root.textOr(KEY_COUNTER, "");
    return new PlatformConfig(
        root.textOr(KEY_NAME, environment.getOrDefault(VARIABLE_NAME, "gatekeeper")),
        readAddress(root, KEY_LISTEN, environment.getOrDefault(VARIABLE_LISTEN, "")),
        readAddress(root, KEY_DISCOVERY, environment.getOrDefault(VARIABLE_DISCOVERY, "")),
        counter.isEmpty() ? null : EndpointListCodec.decodeAddress(KEY_COUNTER, counter),
        policy,
        root.has(KEY_KNOWN_ENDPOINTS)
            ? EndpointListCodec.decode(root.object(KEY_KNOWN_ENDPOINTS))
            : EndpointList.EMPTY,
        (int) processLimits.integerOr(KEY_MAX_SOCKETS, DEFAULT_MAX_SOCKETS),
        processLimits.integerOr(KEY_MEMORY_MEGABYTES, DEFAULT_MEMORY_MEGABYTES) << 20,
        policyLimits.integerOr(KEY_CONNECT_TIMEOUT_MICROS, DEFAULT_CONNECT_TIMEOUT_MICROS),
        policyLimits.integerOr(KEY_ENDPOINT_IDLE_TIMEOUT_MICROS, 0),
        settings.objectOrEmpty(KEY_POLICY_EXTRAS).numberOr(KEY_MAX_REQUEST_UNITS, 1));
  }

  private static Address readAddress(JsonObject root, String key, String defaultValue) {
    return EndpointListCodec.decodeAddress(key, root.textOr(key, defaultValue));
  }

  private static long parseRandomSeed(String text) {
    try {
      return Long.parseUnsignedLong(text, 16);
    } catch (NumberFormatException e) {
      throw new MalformedMessageException(
          "'" + KEY_RANDOM_SEED + "' is '" + text + "', up to 16 hexadecimal digits are expected");
    }
  }
}
