package fawndock.counter;

/** What {@code INFO} counts; used on the event loop. */
final class ServerStats {
  int connections;
  long processedCommands;
  long rejectedCommands;
  long expiredNames;
}
