package fawndock.counter;

/** The statistics that {@code INFO} reports. Confined to the event loop. */
final class ServerStats {
  int connections;
  long processedCommands;
  long rejectedCommands;
  long expiredNames;
}
