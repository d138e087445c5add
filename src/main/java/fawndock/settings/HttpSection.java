package fawndock.settings;

import fawndock.settings.GatewaySettings.Http;

/** The keywords of HTTP: header names, sizes, connection pool, drain and connection limits. */
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

  void readHeaderNames(LineArguments a) {
    keyHeader = headerName(a, "key", keyHeader);
    deadlineHeader = headerName(a, "deadline", deadlineHeader);
    attemptHeader = headerName(a, "attempt", attemptHeader);
    unitsHeader = headerName(a, "units", "");
    maxUnits = a.number("most", 1e-6, GatewaySettingsFile.MAX_AMOUNT, 1);
  }

  private static String headerName(LineArguments a, String argument, String otherwise) {
    String name = a.word(argument, otherwise);
    if (!name.isEmpty() && !name.matches(HEADER_NAME)) {
      a.addError("'" + name + "' cannot be a header field's name", "letters, digits and -");
    }
    return name;
  }

  void readSizes(LineArguments a) {
    maxRequestBodyBytes = (int) a.parseBytes("body", a.word("body", "64KiB"), MAX_BODY_BYTES);
    maxBufferedResponseBytes =
        (int) a.parseBytes("answer", a.word("answer", "1MiB"), MAX_BODY_BYTES);
  }

  void readPool(LineArguments a) {
    connectionsPerEndpoint = a.integer("connections", 1, 1_000, 2);
    streamsPerConnection = a.integer("streams", 1, 100_000, 250);
    connectTimeoutMicros = a.micros("connect", 1_000, 60_000_000, 1_000_000);
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
