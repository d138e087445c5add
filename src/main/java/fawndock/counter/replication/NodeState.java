package fawndock.counter.replication;

/**
 * Whether a node may answer gateways. A node starts as {@link #CATCHING_UP} and becomes {@link
 * #READY} once; it never returns to catching up. It is {@link #FENCED} while a newer membership
 * list than its own is in use or its own list does not contain it, whether it has caught up or not.
 */
public enum NodeState {
  /** The node may lack sums that its peers have; it rejects calls with {@code LOADING}. */
  CATCHING_UP("catching-up"),
  /** The node answers gateways. */
  READY("ready"),
  /**
   * The totals of the node may lack sums of the other nodes; it rejects calls with {@code FENCED}.
   */
  FENCED("fenced");

  private final String statusWord;

  NodeState(String statusWord) {
    this.statusWord = statusWord;
  }

  /** Returns the word for this state in the reply to {@code FD.STATUS}. */
  public String statusWord() {
    return statusWord;
  }
}
