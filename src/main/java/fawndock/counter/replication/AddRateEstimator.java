package fawndock.counter.replication;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * How fast each gatekeeper's net sums grow on each series of names, and from it what one that
 * cannot be heard may have counted since. Guards against a half of a split that counts as if it
 * were alone. It may refuse some that had room when the unheard ones count less than they did, for
 * as long as they are unheard.
 */
public final class AddRateEstimator {
  /**
   * Over how long a rate is taken, in milliseconds: at 15 adds a second some 240 of them, an error
   * of some 7%. A longer one would take what was long ago for what is now.
   */
  static final double SPAN = 8_000;

  /** Younger rates are taken as if they were so old, in milliseconds. */
  private static final double MIN_AGE = 300;

  private static final int MOST = 200_000;

  private record Key(String series, long origin) {}

  private static final class Rate {
    double perMilli;
    long since;
    long at;

    /**
     * The rate at a time, of those that it was taken over: a young one is not yet at its height.
     */
    double known(long now) {
      double full = 1 - Math.exp(-Math.max(MIN_AGE, at - since) / SPAN);
      return perMilli * Math.exp(-Math.max(0, now - at) / SPAN) / full;
    }
  }

  /** When the windows of a series began, as seen here: the newest, and the one before. */
  private static final class Windows {
    String newest = "";
    long newestAt;
    String before = "";
    long beforeAt;

    /** One that comes late, such as an amount taken back, does not begin a window again. */
    String older = "";
  }

  private final Map<Key, Rate> rates = bounded();
  private final Map<String, Windows> windows = bounded();

  private static <K, V> Map<K, V> bounded() {
    return new LinkedHashMap<>(16, 0.75f, true) {
      private static final long serialVersionUID = 1L;

      @Override
      protected boolean removeEldestEntry(Map.Entry<K, V> eldest) {
        return size() > MOST;
      }
    };
  }

  /** An origin's net sum on a name has grown. */
  public void grew(String name, long origin, double by, long now) {
    Rate rate =
        rates.computeIfAbsent(
            new Key(ReplicatedSum.series(name), origin),
            k -> {
              Rate young = new Rate();
              young.since = now;
              young.at = now;
              return young;
            });
    rate.perMilli =
        Math.max(0, rate.perMilli * Math.exp(-Math.max(0, now - rate.at) / SPAN) + by / SPAN);
    rate.at = Math.max(rate.at, now);
    seen(name, now);
  }

  /** A name was asked for. */
  public void seen(String name, long now) {
    Windows of = windows.computeIfAbsent(ReplicatedSum.series(name), s -> new Windows());
    if (!of.newest.equals(name) && !of.before.equals(name) && !of.older.equals(name)) {
      of.older = of.before;
      of.before = of.newest;
      of.beforeAt = of.newestAt;
      of.newest = name;
      of.newestAt = now;
    }
  }

  /** What an origin may have counted on a name between when it was last heard and now. */
  public double unheard(String name, long origin, long heardAt, long now) {
    String series = ReplicatedSum.series(name);
    Rate rate = rates.get(new Key(series, origin));
    Windows of = windows.get(series);
    if (rate == null || of == null) {
      return 0;
    }
    boolean newest = of.newest.equals(name);
    if (!newest && !of.before.equals(name)) {
      return 0;
    }
    long from = Math.max(heardAt, newest ? of.newestAt : of.beforeAt);
    long to = newest ? now : of.newestAt;
    return Math.max(0, to - from) * rate.known(heardAt);
  }
}
