package fawndock.counter;

/**
 * Whether the log can be written. The state is {@link #STARTING} until the first attempt to start a
 * segment succeeds or fails, and then alternates between {@link #WRITABLE} and {@link #STALLED}.
 */
enum LogState {
  STARTING,
  WRITABLE,
  /** Changes are rejected until writes to the disk succeed again. */
  STALLED;

  /**
   * Returns the next state after checking that the transition is legal.
   *
   * @throws IllegalStateException if the transition leads from another state back to {@link
   *     #STARTING}
   */
  LogState transitionTo(LogState next) {
    if (next == STARTING && this != STARTING) {
      throw new IllegalStateException("illegal log state transition from " + this + " to " + next);
    }
    return next;
  }
}
