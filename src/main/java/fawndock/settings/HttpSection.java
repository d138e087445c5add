package fawndock.settings;

import fawndock.settings.GatewaySettings.Http;

/**
 * Reads the keywords of HTTP: header names, body sizes, the connection pool, the drain timeout and
 * the connection limit. Not thread-safe.
 */
final class HttpSection {
  private static final int MAX_BODY_BYTES = 64 << 20;
  private static final String HEADER_NAME = "[A-Za-z0-9!#$%&'*+.^_`|~-]{1,64}";

  private String keyHeader = "x-api-key";
  private String deadlineHeader = "x-envoy-expected-rq-timeout-ms";
  private String attemptHeader = "x-envoy-attempt-count";
  private String unitsHeader = "";
  private double maxUnits = 1;
  private int maxRequestBodyBytes = 64 << 10;
  private int maxBufferedResponseBytes = 1 << 20;
  private int connectionsPerEndpoint = 2;
  private int streamsPerConnection = 250;
  private long connectTimeoutMicros = 1_000_000;
  long drainTimeoutMicros = 30_000_000;
  int maxClientConnections = 20_000;

  void readHeaderNames(LineArguments arguments) {
    keyHeader = headerName(arguments, "key", keyHeader);
    deadlineHeader = headerName(arguments, "deadline", deadlineHeader);
    attemptHeader = headerName(arguments, "attempt", attemptHeader);
    unitsHeader = headerName(arguments, "units", "");
    maxUnits = arguments.number("most", 1e-6, GatewaySettingsFile.MAX_AMOUNT, 1);
  }

  private static String headerName(LineArguments arguments, String argument, String defaultName) {
    String name = arguments.word(argument, defaultName);
    if (!name.isEmpty() && !name.matches(HEADER_NAME)) {
      arguments.addError(
          "'" + name + "' is not a valid header field name", "letters, digits and -");
    }
    return name;
  }

  void readSizes(LineArguments arguments) {
    maxRequestBodyBytes =
        (int) arguments.parseBytes("body", arguments.word("body", "64KiB"), MAX_BODY_BYTES);
    maxBufferedResponseBytes =
        (int) arguments.parseBytes("answer", arguments.word("answer", "1MiB"), MAX_BODY_BYTES);
  }

  void readPool(LineArguments arguments) {
    connectionsPerEndpoint = arguments.integer("connections", 1, 1_000, 2);
    streamsPerConnection = arguments.integer("streams", 1, 100_000, 250);
    connectTimeoutMicros = arguments.micros("connect", 1_000, 60_000_000, 1_000_000);
  }

  Http settings() {
    return new Http(
        keyHeader,
        deadlineHeader,
        attemptHeader,
        unitsHeader,
        maxUnits,
        maxRequestBodyBytes,
        maxBufferedResponseBytes,
        connectionsPerEndpoint,
        streamsPerConnection,
        connectTimeoutMicros,
        drainTimeoutMicros,
        maxClientConnections);
  }
}
