package fawndock.platformconfig;

/**
 * The keys of the settings object. The platform and the simulator define the keys; each constant is
 * named after the term that the code uses.
 */
final class SettingsKeys {
  // Top-level keys.
  static final String INSTANCE_INDEX = "me";
  static final String INSTANCE_COUNT = "peers-total";
  static final String ROUND_TRIP_MICROS = "round-us";
  static final String ZONE = "locality";
  static final String DISCOVERY_MODE = "registry-mode";
  static final String REQUEST_CLASSES = "classes";
  static final String PLANS = "packages";
  static final String LIMITS = "caps";
  static final String RULES = "rules";
  static final String EXTRAS = "extra";

  // Values of DISCOVERY_MODE: whether the policy must request the endpoint watch itself.
  static final String DISCOVERY_MODE_AUTOMATIC = "automatic";
  static final String DISCOVERY_MODE_WATCH = "subscribe";

  // Keys of LIMITS.
  static final String MAX_ATTEMPTS = "max-attempts";
  static final String MAX_IN_FLIGHT = "max-open";
  static final String MAX_RETRY_AFTER_MICROS = "max-retry-after-us";
  static final String ALLOWS_HEDGING = "may-duplicate";
  static final String ALLOWS_CANCELLATION = "cancel";
  static final String ALLOWS_HEALTH_CHECKS = "probes";
  static final String ALLOWS_PEER_MESSAGES = "peers";
  static final String ALLOWS_RETRY_AFTER = "retry-after";

  // Keys of RULES.
  static final String ANSWER_GRACE_MICROS = "grace-to-answer-us";
  static final String DRAIN_GRACE_MICROS = "drain-grace-us";
  static final String SLOW_START_INITIAL_RATIO = "cold-share";
  static final String SLOW_START_MICROS = "cold-us";
  static final String SLOW_START_OVERLOAD_RATIO = "fall-multiple";
  static final String SLOW_START_OVERLOAD_WINDOW_MICROS = "fall-us";
  static final String WATCH_WITHIN_MICROS = "ask-within-us";

  // Keys of EXTRAS.
  static final String HAS_COUNTER = "counter";
  static final String COUNTER_TIMEOUT_MICROS = "count-wait-us";
  static final String SETTLES_UNITS = "trued-up";

  // Keys of a request class or a plan.
  static final String NAME = "name";

  // Keys of a request class.
  static final String LATENCY_OBJECTIVE_MICROS = "aim-us";
  static final String LATENCY_OBJECTIVE_STRETCH = "aim-stretch";
  static final String DEADLINE_MICROS = "deadline-us";
  static final String CLASS_PRIORITY_WEIGHT = "worth";
  static final String LATE_PRIORITY_WEIGHT = "late-worth";
  static final String IDEMPOTENCY = "idempotency";
  static final String DEDUPLICATION_SCOPE = "group";
  static final String DEDUPLICATION_WINDOW_MICROS = "window-us";
  static final String IS_STREAMED = "streaming";

  // Keys of a plan.
  static final String UNITS_PER_SECOND = "rate";
  static final String BURST_UNITS = "store-size";
  static final String MAX_CONCURRENT = "concurrency";
  static final String PLAN_PRIORITY_WEIGHT = "pays";
  static final String OVER_QUOTA_VALUE = "extra-worth";
  static final String OVER_QUOTA_COST = "over-cost";
  static final String CEILING_UNITS_PER_SECOND = "hard-rate";
  static final String CEILING_BURST_UNITS = "ceiling-burst";
  static final String CEILING_TOLERANCE_UNITS = "tolerance";

  private SettingsKeys() {}
}
