package fawndock.counter.replication;

import java.util.Collections;
import java.util.Map;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Immutable list of the replicas of a counter with a membership epoch. An operator sends a new list
 * to one node; each node and gateway that receives a newer list adopts it and forwards it.
 *
 * @param epoch epoch of the list, 1 to {@link #MAX_EPOCH}
 * @param addresses addresses of the nodes by name, as HOST:PORT, one to {@link #MAX_NODES}
 */
public record MembershipList(long epoch, Map<String, String> addresses) {
  /** Maximum number of nodes on a list. */
  public static final int MAX_NODES = 16;

  /** Maximum epoch of a list. */
  public static final long MAX_EPOCH = 999_999_999;

  private static final int HASH_BITS = 20;
  private static final Pattern NODE =
      Pattern.compile("([A-Za-z0-9._-]{1,64})=([^\\s=]{1,120}:[0-9]{1,5})");

  /** Copies the addresses in order of node names. */
  public MembershipList {
    addresses = Collections.unmodifiableMap(new TreeMap<>(addresses));
  }

  /**
   * Parses the form that {@link #toString} returns: the epoch, then {@code NAME=HOST:PORT} for each
   * node.
   *
   * @throws IllegalArgumentException if the text is malformed; the message describes the error
   */
  public static MembershipList parse(String text) {
    String[] words = text.trim().split(" +", 0);
    if (!words[0].matches("[0-9]{1,9}") || Long.parseLong(words[0]) < 1) {
      throw new IllegalArgumentException("epoch '" + words[0] + "', expected 1 to " + MAX_EPOCH);
    }
    if (words.length < 2 || words.length > 1 + MAX_NODES) {
      throw new IllegalArgumentException((words.length - 1) + " nodes, expected 1 to " + MAX_NODES);
    }
    Map<String, String> addresses = new TreeMap<>();
    for (int i = 1; i < words.length; i++) {
      Matcher node = NODE.matcher(words[i]);
      if (!node.matches()) {
        throw new IllegalArgumentException("node '" + words[i] + "', expected NAME=HOST:PORT");
      }
      if (addresses.put(node.group(1), node.group(2)) != null) {
        throw new IllegalArgumentException(
            "node " + node.group(1) + " is given twice, expected each once");
      }
    }
    return new MembershipList(Long.parseLong(words[0]), addresses);
  }

  /**
   * Returns the version of a list from the settings; it omits the hash of the addresses, since the
   * settings of different instances may give the same nodes different addresses.
   */
  public static long settingsVersion(long epoch) {
    return epoch << HASH_BITS;
  }

  /** Returns the epoch of a version. */
  public static long epoch(long version) {
    return version >> HASH_BITS;
  }

  /**
   * Returns a number that orders lists: by epoch, then by a hash of the addresses. If two operators
   * distribute different lists with the same epoch, all nodes converge on one of them; the status
   * shows which one.
   */
  public long version() {
    long hash = 0xCBF29CE484222325L;
    for (char c : addresses.toString().toCharArray()) {
      hash = (hash ^ c) * 0x100000001B3L;
    }
    return settingsVersion(epoch) + Math.max(1, (hash ^ hash >>> 32) & ((1L << HASH_BITS) - 1));
  }

  @Override
  public String toString() {
    StringBuilder text = new StringBuilder().append(epoch);
    addresses.forEach((name, address) -> text.append(' ').append(name).append('=').append(address));
    return text.toString();
  }
}
