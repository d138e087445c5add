package fawndock.platform;

/**
 * Command names, field names and replies of the platform's RESP protocols with clients, backends
 * and the counter. The platform defines them; each constant is named by the term that the code
 * uses.
 */
final class PlatformProtocol {
  // Commands.

  /** An idempotent request. */
  static final String COMMAND_IDEMPOTENT = "Q.ASK";

  /** A request that must not run twice, or is deduplicated by its idempotency key. */
  static final String COMMAND_NOT_IDEMPOTENT = "Q.DO";

  /** A liveness check of a client connection. */
  static final String COMMAND_PING = "PING";

  /** A counter increment that returns the new total. */
  static final String COMMAND_ADD_AND_GET = "ADDGET";

  // Fields of a request's attribute list, "name=value,name=value".

  /** Request class. */
  static final String FIELD_REQUEST_CLASS = "c";

  /** Plan of the customer. */
  static final String FIELD_PLAN = "t";

  /** Time that the client still waits, in milliseconds. */
  static final String FIELD_TIMEOUT_MILLIS = "d";

  /** Idempotency key. */
  static final String FIELD_IDEMPOTENCY_KEY = "k";

  /** 1 if the client retries an earlier request. */
  static final String FIELD_IS_RETRY = "r";

  /** Cost of the request in units of its plan. */
  static final String FIELD_UNITS = "units";

  /** Number of gateway instances that the customer's requests are spread over. */
  static final String FIELD_INSTANCE_COUNT = "spread";

  /** Index of the first of these instances. */
  static final String FIELD_FIRST_INSTANCE = "first";

  // Fields of a backend's reply; SettingsReader defines those of its load report.

  /** Units that the request has used. */
  static final String FIELD_UNITS_USED = "charged";

  /** Former name of {@link #FIELD_UNITS_USED}. */
  static final String FIELD_UNITS_USED_OLD = "cost";

  // Replies.

  /** Reply to {@link #COMMAND_PING}. */
  static final String REPLY_PONG = "PONG";

  /** Prefix of an error reply to a request that has not run and may be retried. */
  static final String ERROR_REJECTED = "BUSY";

  /** Prefix of any other error reply. */
  static final String ERROR = "ERR ";

  /** Error reply if the last attempt failed. */
  static final String ERROR_FAILED = "ERR failed";

  /** Error reply if the client's deadline has passed. */
  static final String ERROR_TIMEOUT = "ERR no answer in time";

  /** Error reply if the gateway is shutting down. */
  static final String ERROR_SHUTTING_DOWN = "ERR stopping";

  /** Error reply to a command that the protocol does not define. */
  static final String ERROR_UNKNOWN_COMMAND = "ERR unknown command";

  /** Error reply if a request with the same id is in flight. */
  static final String ERROR_DUPLICATE_ID = "ERR the id is open already";

  /** Error reply if there is no memory for the rest of a command. */
  static final String ERROR_NO_COMMAND_MEMORY = "ERR no memory for the rest of the command";

  /** Error reply if the rest of a command does not arrive in time. */
  static final String ERROR_INCOMPLETE_COMMAND = "ERR the command did not end";

  private PlatformProtocol() {}
}
