package fawndock.simulatoradapter;

/**
 * The words of the external simulator's line protocol. They are fixed by the simulator; beside each
 * group stands the term that the code uses, where it is another one.
 */
final class SimulatorProtocol {
  // Lines: one JSON object in, one out.

  /** Time of the events, in microseconds. */
  static final String FIELD_NOW_MICROS = "now-us";

  /** Events of the line in. */
  static final String FIELD_EVENTS = "happened";

  /** Actions of the line out. */
  static final String FIELD_ACTIONS = "output";

  // Fields of events and actions.

  /** Type of the event or action. */
  static final String FIELD_TYPE = "what";

  /** Gateway instance. */
  static final String FIELD_INSTANCE = "i";

  /** Request id. */
  static final String FIELD_REQUEST_ID = "op-id";

  /** Attempt index. */
  static final String FIELD_ATTEMPT_INDEX = "try";

  /** Endpoint id. */
  static final String FIELD_ENDPOINT = "worker";

  static final String FIELD_REQUEST_CLASS = "class";

  /** Plan. */
  static final String FIELD_PLAN = "tariff";

  static final String FIELD_CUSTOMER = "customer";

  /** Deadline of a request. */
  static final String FIELD_REQUEST_DEADLINE_MICROS = "give-up-at-us";

  /** Deadline of an attempt. */
  static final String FIELD_ATTEMPT_DEADLINE_MICROS = "abandon-at-us";

  static final String FIELD_UNITS = "price-units";

  /** Number of instances that the customer's requests are spread over. */
  static final String FIELD_INSTANCE_COUNT = "doors";

  /** First of these instances. */
  static final String FIELD_FIRST_INSTANCE = "base";

  /** Bits; {@link #ATTRIBUTE_RETRY} marks a retry. */
  static final String FIELD_ATTRIBUTES = "attrs";

  static final int ATTRIBUTE_RETRY = 2;

  static final String FIELD_DURATION_MICROS = "duration-us";

  /** Result of an attempt, health check or counter call. */
  static final String FIELD_RESULT = "verdict";

  /** Whether the client has its final response. */
  static final String FIELD_IS_REQUEST_COMPLETED = "terminal";

  /** Units that the request has used. */
  static final String FIELD_UNITS_USED = "charged";

  /** Load report. */
  static final String FIELD_LOAD_REPORT = "stats";

  /** Counter name. */
  static final String FIELD_COUNTER = "book";

  /** Total of a counter. */
  static final String FIELD_TOTAL = "level";

  /** Amount to add to a counter. */
  static final String FIELD_AMOUNT = "by";

  /** Time to live of a counter. */
  static final String FIELD_TIME_TO_LIVE_MICROS = "keep-for-us";

  static final String FIELD_RETRY_AFTER_MICROS = "retry-after-us";

  /** Timer token. */
  static final String FIELD_TIMER = "cookie";

  static final String FIELD_TIMER_DELAY_MICROS = "span-us";

  /** Sender of a peer message. */
  static final String FIELD_SENDER = "from";

  /** Receiver of a peer message, or {@link #ALL_PEERS}. */
  static final String FIELD_RECEIVER = "dest";

  static final String ALL_PEERS = "*";
  static final String FIELD_MESSAGE = "body";
  static final String FIELD_TEXT = "text";

  /** Whether to watch. */
  static final String FIELD_IS_WATCHING = "active";

  static final String FIELD_SETTINGS = "options";
  static final String FIELD_RANDOM_SEED = "rng-seed";

  // Fields of endpoint lists.

  static final String FIELD_LIST_KIND = "kind";
  static final String FIELD_ENDPOINTS = "members-list";

  /** Zone. */
  static final String FIELD_ZONE = "site";

  /** Cell. */
  static final String FIELD_CELL = "pod";

  /** Endpoint state. */
  static final String FIELD_ENDPOINT_STATE = "availability";

  /** Weight. */
  static final String FIELD_WEIGHT = "power-hint";

  static final String FIELD_STARTED_AT_MICROS = "start-time-us";

  // Event types.

  static final String EVENT_ATTACH = "Attach";
  static final String EVENT_KILLED = "Killed";

  /** Request arrived. */
  static final String EVENT_REQUEST = "Call";

  static final String EVENT_ATTEMPT_COMPLETED = "AttemptEnd";
  static final String EVENT_RESPONSE_STARTED = "Started";
  static final String EVENT_HEALTH_CHECK_COMPLETED = "HealthResult";
  static final String EVENT_COUNTER_REPLY = "LedgerReply";

  /** Client disconnected. */
  static final String EVENT_CLIENT_DISCONNECTED = "Expired";

  static final String EVENT_TIMER_FIRED = "Timer";
  static final String EVENT_PEER_MESSAGE = "Mail";

  /** Endpoint update. */
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

  // Kinds of endpoint lists, and the state of an endpoint that has none.

  static final String LIST_CHANGES = "delta";
  static final String LIST_SNAPSHOT = "full";
  static final String LIST_CACHED = "cached";
  static final String LIST_FAILED = "failed";
  static final String DEFAULT_ENDPOINT_STATE = "Running";

  /** Words for an endpoint's state, in whatever case; here in small letters. */
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

  /** The policy has thrown an exception. */
  static final String ACTION_EXCEPTION = "Exception";

  private SimulatorProtocol() {}
}
