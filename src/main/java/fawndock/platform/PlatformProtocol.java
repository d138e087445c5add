package fawndock.platform;

/**
 * The words of the platform's RESP protocols, with clients, backends and the counter. They are
 * fixed by the platform; beside each stands the term that the code uses for it.
 */
final class PlatformProtocol {
  // Commands.

  /** Idempotent request. */
  static final String COMMAND_IDEMPOTENT = "Q.ASK";

  /** Request that must not run twice, or is deduplicated by its key. */
  static final String COMMAND_NOT_IDEMPOTENT = "Q.DO";

  /** Liveness check of a client connection. */
  static final String COMMAND_PING = "PING";

  /** Counter increment that returns the new total. */
  static final String COMMAND_ADD_AND_GET = "ADDGET";

  // Fields of a request's attribute list, "name=value,name=value".

  /** Request class. */
  static final String FIELD_REQUEST_CLASS = "c";

  /** Plan of the customer. */
  static final String FIELD_PLAN = "t";

  /** Timeout: milliseconds that the client still waits. */
  static final String FIELD_TIMEOUT_MILLIS = "d";

  /** Idempotency key. */
  static final String FIELD_IDEMPOTENCY_KEY = "k";

  /** 1 where the client retries an earlier request. */
  static final String FIELD_IS_RETRY = "r";

  /** Cost of the request in units of its plan. */
  static final String FIELD_UNITS = "units";

  /** Number of gateway instances that the customer's requests are spread over. */
  static final String FIELD_INSTANCE_COUNT = "spread";

  /** Index of the first of these instances. */
  static final String FIELD_FIRST_INSTANCE = "first";

  // Fields of a backend's reply; those of its load report are in SettingsReader.

  /** Units that the request has used. */
  static final String FIELD_UNITS_USED = "charged";

  /** The same, under its older name. */
  static final String FIELD_UNITS_USED_OLD = "cost";

  // Replies.

  /** Reply to {@link #COMMAND_PING}. */
  static final String REPLY_PONG = "PONG";

  /** Prefix of an error reply to a request that has not run and may be retried. */
  static final String ERROR_REJECTED = "BUSY";

  /** Prefix of any other error reply. */
  static final String ERROR = "ERR ";

  /** The last attempt failed. */
  static final String ERROR_FAILED = "ERR failed";

  /** The client's deadline has passed. */
  static final String ERROR_TIMEOUT = "ERR no answer in time";

  /** The gateway shuts down. */
  static final String ERROR_SHUTTING_DOWN = "ERR stopping";

  /** The command is not one of this protocol's. */
  static final String ERROR_UNKNOWN_COMMAND = "ERR unknown command";

  /** A request of the same id is in flight. */
  static final String ERROR_DUPLICATE_ID = "ERR the id is open already";

  /** Too many commands of one connection are in flight. */
  static final String ERROR_TOO_MANY_COMMANDS = "ERR too many commands at once";

  /** The rest of a command did not arrive in time. */
  static final String ERROR_INCOMPLETE_COMMAND = "ERR the command did not end";

  private PlatformProtocol() {}
}
