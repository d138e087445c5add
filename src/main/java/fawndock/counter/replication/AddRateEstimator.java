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
  static final double AVERAGING_MILLIS = 8_000;

  /** Younger rates are taken as if they were so old, in milliseconds. */
  private static final double MIN_AGE_MILLIS = 300;

  private static final int MAX_ENTRIES = 200_000;

  private record Key(String series, long origin) {}

  private static final class Rate {
    double perMilli;
    long firstMillis;
    long lastMillis;

    /**
     * The rate at a time, of those that it was taken over: a young one is not yet at its height.
     */
    double unbiasedPerMilli(long now) {
      double full =
          1 - Math.exp(-Math.max(MIN_AGE_MILLIS, lastMillis - firstMillis) / AVERAGING_MILLIS);
      return perMilli * Math.exp(-Math.max(0, now - lastMillis) / AVERAGING_MILLIS) / full;
    }
  }

  /** When the windows of a series began, as seen here: the newest, and the one before. */
  private static final class SeriesWindows {
    String newest = "";
    long newestSinceMillis;
    String previous = "";
    long previousSinceMillis;

    /** One that comes late, such as an amount taken back, does not begin a window again. */
    String older = "";
  }

  private final Map<Key, Rate> rates = bounded();
  private final Map<String, SeriesWindows> windows = bounded();

  private static <K, V> Map<K, V> bounded() {
    return new LinkedHashMap<>(16, 0.75f, true) {
      private static final long serialVersionUID = 1L;

      @Override
      protected boolean removeEldestEntry(Map.Entry<K, V> eldest) {
        return size() > MAX_ENTRIES;
      }
    };
  }

  /** An origin's net sum on a name has grown. */
  public void recordGrowth(String name, long origin, double by, long now) {
    Rate rate =
        rates.computeIfAbsent(
            new Key(ReplicatedSum.series(name), origin),
            k -> {
              Rate young = new Rate();
              young.firstMillis = now;
              young.lastMillis = now;
              return young;
            });
    rate.perMilli =
        Math.max(
            0,
            rate.perMilli * Math.exp(-Math.max(0, now - rate.lastMillis) / AVERAGING_MILLIS)
                + by / AVERAGING_MILLIS);
    rate.lastMillis = Math.max(rate.lastMillis, now);
    recordUse(name, now);
  }

  /** A name was asked for. */
  public void recordUse(String name, long now) {
    SeriesWindows of =
        windows.computeIfAbsent(ReplicatedSum.series(name), s -> new SeriesWindows());
    if (!of.newest.equals(name) && !of.previous.equals(name) && !of.older.equals(name)) {
      of.older = of.previous;
      of.previous = of.newest;
      of.previousSinceMillis = of.newestSinceMillis;
      of.newest = name;
      of.newestSinceMillis = now;
    }
  }

  /** What an origin may have counted on a name between when it was last heard and now. */
  public double estimateSince(String name, long origin, long heardAt, long now) {
    String series = ReplicatedSum.series(name);
    Rate rate = rates.get(new Key(series, origin));
    SeriesWindows of = windows.get(series);
    if (rate == null || of == null) {
      return 0;
    }
    boolean newest = of.newest.equals(name);
    if (!newest && !of.previous.equals(name)) {
      return 0;
    }
    long from = Math.max(heardAt, newest ? of.newestSinceMillis : of.previousSinceMillis);
    long to = newest ? now : of.newestSinceMillis;
    return Math.max(0, to - from) * rate.unbiasedPerMilli(heardAt);
  }
}
