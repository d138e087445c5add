package fawndock.counter.replication;

/**
 * Whether a node may answer gateways. A node starts {@link #CATCHING_UP} and becomes {@link #READY}
 * once; it never falls back to catching up. It is {@link #FENCED} for as long as a newer membership
 * list than its own is in use, or its own list leaves it out, whether it has caught up or not.
 */
public enum NodeState {
  /** It may lack sums that its peers have: calls are rejected with {@code LOADING}. */
  CATCHING_UP("catching-up"),
  /** It answers gateways. */
  READY("ready"),
  /** Its totals may lack what the others count: calls are rejected with {@code FENCED}. */
  FENCED("fenced");

  private final String statusWord;

  NodeState(String statusWord) {
    this.statusWord = statusWord;
  }

  /** The word for it in the answer to {@code FD.STATUS}. */
  public String statusWord() {
    return statusWord;
  }
}
