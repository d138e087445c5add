package fawndock.counter.replication;

import java.util.Collections;
import java.util.Map;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The replicas of a counter, with their membership epoch, as an operator gave them to one of them.
 * Each node and gateway that gets a newer list adopts it and passes it on. Immutable.
 *
 * @param epoch of the list, 1 to {@link #MAX_EPOCH}
 * @param addresses of the nodes by name, as HOST:PORT, one to {@link #MAX_NODES}
 */
public record MembershipList(long epoch, Map<String, String> addresses) {
  /** Nodes on a list. */
  public static final int MAX_NODES = 16;

  /** Highest epoch of a list. */
  public static final long MAX_EPOCH = 999_999_999;

  private static final int HASH_BITS = 20;
  private static final Pattern NODE =
      Pattern.compile("([A-Za-z0-9._-]{1,64})=([^\\s=]{1,120}:[0-9]{1,5})");

  /** Copies the addresses, in the order of their names. */
  public MembershipList {
    addresses = Collections.unmodifiableMap(new TreeMap<>(addresses));
  }

  /**
   * Reads what {@link #toString} gives: the epoch, then {@code NAME=HOST:PORT} for each node.
   *
   * @throws IllegalArgumentException that says what is wrong with the text
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
   * The version of a list that stands in the settings, where the same nodes may have other
   * addresses on each.
   */
  public static long settingsVersion(long epoch) {
    return epoch << HASH_BITS;
  }

  /** The epoch of a version. */
  public static long epoch(long version) {
    return version >> HASH_BITS;
  }

  /**
   * Orders lists: by epoch, and two of the same epoch by what is in them. Guards against two
   * operators whose lists would each hold on a part of the nodes; one of the two loses, and sees it
   * in the status.
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
