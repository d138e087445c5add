package fawndock.simulatoradapter;

/**
 * The names and values of the external simulator's line protocol. The simulator defines them; each
 * constant is named after the term that the code uses.
 */
final class SimulatorProtocol {
  // Lines: each line of events and each line of actions is one JSON object.

  /** Time of the line's events, in microseconds. */
  static final String FIELD_NOW_MICROS = "now-us";

  static final String FIELD_EVENTS = "happened";
  static final String FIELD_ACTIONS = "output";

  // Fields of events and actions.

  /** Type of an event or action. */
  static final String FIELD_TYPE = "what";

  /** Index of the gateway instance. */
  static final String FIELD_INSTANCE = "i";

  static final String FIELD_REQUEST_ID = "op-id";
  static final String FIELD_ATTEMPT_INDEX = "try";

  /** Endpoint id. */
  static final String FIELD_ENDPOINT = "worker";

  static final String FIELD_REQUEST_CLASS = "class";
  static final String FIELD_PLAN = "tariff";
  static final String FIELD_CUSTOMER = "customer";

  /** Deadline of a request. */
  static final String FIELD_REQUEST_DEADLINE_MICROS = "give-up-at-us";

  /** Deadline of an attempt. */
  static final String FIELD_ATTEMPT_DEADLINE_MICROS = "abandon-at-us";

  static final String FIELD_UNITS = "price-units";

  /** Number of instances that the customer's requests are spread over. */
  static final String FIELD_INSTANCE_COUNT = "doors";

  /** Index of the first of these instances. */
  static final String FIELD_FIRST_INSTANCE = "base";

  /** Bit set, in which {@link #ATTRIBUTE_RETRY} marks a retry. */
  static final String FIELD_ATTRIBUTES = "attrs";

  static final int ATTRIBUTE_RETRY = 2;

  static final String FIELD_DURATION_MICROS = "duration-us";

  /** Result of an attempt, health check or counter call. */
  static final String FIELD_RESULT = "verdict";

  /** Whether the client has its final response. */
  static final String FIELD_IS_REQUEST_COMPLETED = "terminal";

  /** Actual cost of the request in units. */
  static final String FIELD_UNITS_USED = "charged";

  static final String FIELD_LOAD_REPORT = "stats";
  static final String FIELD_COUNTER = "book";

  /** Value of a counter after a call. */
  static final String FIELD_TOTAL = "level";

  /** Amount to add to a counter. */
  static final String FIELD_AMOUNT = "by";

  /** Time to live of a counter. */
  static final String FIELD_TIME_TO_LIVE_MICROS = "keep-for-us";

  static final String FIELD_RETRY_AFTER_MICROS = "retry-after-us";

  /** Timer as {@link TimerCodec} encodes it. */
  static final String FIELD_TIMER = "cookie";

  static final String FIELD_TIMER_DELAY_MICROS = "span-us";

  /** Instance that sent a peer message. */
  static final String FIELD_SENDER = "from";

  /** Instance that a peer message is sent to, or {@link #ALL_PEERS}. */
  static final String FIELD_RECEIVER = "dest";

  static final String ALL_PEERS = "*";
  static final String FIELD_MESSAGE = "body";
  static final String FIELD_TEXT = "text";

  /** Whether the instance is to watch the endpoints. */
  static final String FIELD_IS_WATCHING = "active";

  static final String FIELD_SETTINGS = "options";
  static final String FIELD_RANDOM_SEED = "rng-seed";

  // Fields of endpoint lists.

  static final String FIELD_LIST_KIND = "kind";
  static final String FIELD_ENDPOINTS = "members-list";
  static final String FIELD_ZONE = "site";
  static final String FIELD_CELL = "pod";
  static final String FIELD_ENDPOINT_STATE = "availability";
  static final String FIELD_WEIGHT = "power-hint";
  static final String FIELD_STARTED_AT_MICROS = "start-time-us";

  // Event types.

  static final String EVENT_ATTACH = "Attach";
  static final String EVENT_KILLED = "Killed";

  /** A client's request has arrived. */
  static final String EVENT_REQUEST = "Call";

  static final String EVENT_ATTEMPT_COMPLETED = "AttemptEnd";
  static final String EVENT_RESPONSE_STARTED = "Started";
  static final String EVENT_HEALTH_CHECK_COMPLETED = "HealthResult";
  static final String EVENT_COUNTER_REPLY = "LedgerReply";
  static final String EVENT_CLIENT_DISCONNECTED = "Expired";
  static final String EVENT_TIMER_FIRED = "Timer";
  static final String EVENT_PEER_MESSAGE = "Mail";
  static final String EVENT_ENDPOINT_UPDATE = "Registry";

  // Results.

  static final String RESULT_OK = "delivered";
  static final String RESULT_ERROR = "app_error";
  static final String RESULT_SHED = "shed";
  static final String RESULT_TIMEOUT = "expired";
  static final String RESULT_CONNECT_FAILED = "dial_failed";
  static final String RESULT_RESET = "dropped";
  static final String RESULT_CANCELLED = "revoked";
  static final String RESULT_NOT_SENT = "unused";

  // Kinds of endpoint lists, and the state of an endpoint without a state field.

  static final String LIST_CHANGES = "delta";
  static final String LIST_SNAPSHOT = "full";
  static final String LIST_CACHED = "cached";
  static final String LIST_FAILED = "failed";
  static final String DEFAULT_ENDPOINT_STATE = "Running";

  // Endpoint states in lower case; the protocol ignores case.

  static final String STATE_RUNNING = "running";
  static final String STATE_DRAINING = "stopping";
  static final String STATE_REMOVED = "deleted";

  // Action types.

  static final String ACTION_START_ATTEMPT = "Route";
  static final String ACTION_REJECT_REQUEST = "Decline";
  static final String ACTION_FAIL_REQUEST = "Error";
  static final String ACTION_ADD_TO_COUNTER = "Incr";
  static final String ACTION_SCHEDULE_TIMER = "SetAlarm";
  static final String ACTION_CANCEL_ATTEMPT = "Cancel";
  static final String ACTION_START_HEALTH_CHECK = "HealthCheck";
  static final String ACTION_SEND_PEER_MESSAGE = "Tell";
  static final String ACTION_FETCH_ENDPOINTS = "Refresh";
  static final String ACTION_WATCH_ENDPOINTS = "Subscribe";
  static final String ACTION_LOG_MESSAGE = "Remark";

  /** Reports that the policy has thrown an exception. */
  static final String ACTION_EXCEPTION = "Exception";

  private SimulatorProtocol() {}
}
