package fawndock.counter;

/**
 * Whether the log can be written. It is {@link #STARTING} until the first segment is begun, or
 * could not be; from then on it goes between {@link #WRITABLE} and {@link #STALLED}.
 */
enum LogState {
  STARTING,
  WRITABLE,
  /** Changes are rejected until the disk takes writes again. */
  STALLED;

  /**
   * The next state, checked.
   *
   * @throws IllegalStateException when a log that was begun would be starting again
   */
  LogState transitionTo(LogState next) {
    if (next == STARTING && this != STARTING) {
      throw new IllegalStateException("a log that is " + this + " cannot become " + next);
    }
    return next;
  }
}
