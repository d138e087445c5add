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
 * Reads the configuration file that the platform writes; environment variables stand in for keys
 * that the file leaves out. A file is taken whole or not at all.
 */
final class PlatformConfigReader {
  // Environment variables.
  static final String VARIABLE_CONFIG_FILE = "RELAY_CONFIG";
  static final String VARIABLE_NAME = "RELAY_NAME";
  static final String VARIABLE_LISTEN = "RELAY_LISTEN";
  static final String VARIABLE_DISCOVERY = "RELAY_DISCOVERY";

  // Keys of the file; those within KEY_POLICY that concern the policy are SettingsReader's.
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
   * Reads the file that {@link #VARIABLE_CONFIG_FILE} names.
   *
   * @throws InvalidConfigException with what was read, what is expected and where
   */
  static PlatformConfig read(Map<String, String> variables) throws InvalidConfigException {
    String file = variables.get(VARIABLE_CONFIG_FILE);
    if (file == null || file.isBlank()) {
      throw new InvalidConfigException(
          VARIABLE_CONFIG_FILE + " is not set: the path of the configuration is expected");
    }
    String text = readFile(file);
    try {
      return parse(text, variables);
    } catch (IOException e) {
      throw new InvalidConfigException(
          file + ": not JSON: " + e.getMessage().lines().findFirst().orElse(""));
    } catch (MalformedMessageException | IllegalArgumentException e) {
      throw new InvalidConfigException(file + ": " + e.getMessage());
    }
  }

  private static String readFile(String file) throws InvalidConfigException {
    try {
      if (Files.size(Path.of(file)) > MAX_FILE_BYTES) {
        throw new InvalidConfigException(file + ": larger than " + MAX_FILE_BYTES + " bytes");
      }
      return Files.readString(Path.of(file));
    } catch (IOException e) {
      throw new InvalidConfigException(
          file + ": cannot be read (" + e + "), a JSON file is expected");
    }
  }

  private static PlatformConfig parse(String text, Map<String, String> variables)
      throws IOException {
    JsonObject file = Json.parse(text);
    JsonObject limits = file.objectOrEmpty(KEY_LIMITS);
    JsonObject settings = file.object(KEY_POLICY);
    JsonObject policyLimits = settings.objectOrEmpty(KEY_POLICY_LIMITS);
    PolicyConfig policy =
        SettingsReader.readPolicyConfig(settings, randomSeed(file.textOr(KEY_RANDOM_SEED, "0")));
    if (policy.requestClasses().isEmpty() || policy.plans().isEmpty()) {
      throw new MalformedMessageException(
          "'" + KEY_POLICY + "' names no class or no plan; at least one of each is expected");
    }
    String counter = file.textOr(KEY_COUNTER, "");
    return new PlatformConfig(
        file.textOr(KEY_NAME, variables.getOrDefault(VARIABLE_NAME, "gatekeeper")),
        address(file, KEY_LISTEN, variables.getOrDefault(VARIABLE_LISTEN, "")),
        address(file, KEY_DISCOVERY, variables.getOrDefault(VARIABLE_DISCOVERY, "")),
        counter.isEmpty() ? null : EndpointListCodec.address(KEY_COUNTER, counter),
        policy,
        file.has(KEY_KNOWN_ENDPOINTS)
            ? EndpointListCodec.decode(file.object(KEY_KNOWN_ENDPOINTS))
            : EndpointList.EMPTY,
        (int) limits.integerOr(KEY_MAX_SOCKETS, DEFAULT_MAX_SOCKETS),
        limits.integerOr(KEY_MEMORY_MEGABYTES, DEFAULT_MEMORY_MEGABYTES) << 20,
        policyLimits.integerOr(KEY_CONNECT_TIMEOUT_MICROS, DEFAULT_CONNECT_TIMEOUT_MICROS),
        policyLimits.integerOr(KEY_ENDPOINT_IDLE_TIMEOUT_MICROS, 0),
        settings.objectOrEmpty(KEY_POLICY_EXTRAS).numberOr(KEY_MAX_REQUEST_UNITS, 1));
  }

  private static Address address(JsonObject file, String key, String other) {
    return EndpointListCodec.address(key, file.textOr(key, other));
  }

  private static long randomSeed(String text) {
    try {
      return Long.parseUnsignedLong(text, 16);
    } catch (NumberFormatException e) {
      throw new MalformedMessageException(
          "'" + KEY_RANDOM_SEED + "' is '" + text + "', up to 16 hexadecimal digits are expected");
    }
  }
}
