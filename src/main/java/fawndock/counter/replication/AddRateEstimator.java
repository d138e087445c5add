package fawndock.counter.replication;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * How fast each origin's net sums grow on each series of names, and from it what an origin that is
 * not heard may have added since. Used from one thread.
 *
 * <p>Guards against a half of a split that counts as if it were alone. It may have requests
 * rejected that the quota allows, for as long as the other half adds less than it did before.
 */
public final class AddRateEstimator {
  /**
   * Time constant of the averaged rate, in milliseconds: at 15 adds a second some 240 of them, an
   * error of some 7%. A longer one would take what was long ago for what is now.
   */
  static final double AVERAGING_MILLIS = 8_000;

  /** Younger rates are taken as if they were so old, in milliseconds. */
  private static final double MIN_AGE_MILLIS = 300;

  private static final int MAX_ENTRIES = 200_000;

  private record Key(String series, long origin) {}

  /** An exponentially decaying average of adds a millisecond. */
  private static final class Rate {
    double perMilli;
    final long firstMillis;
    long lastMillis;

    Rate(long nowMillis) {
      firstMillis = nowMillis;
      lastMillis = nowMillis;
    }

    void add(double amount, long nowMillis) {
      double decay = Math.exp(-Math.max(0, nowMillis - lastMillis) / AVERAGING_MILLIS);
      perMilli = Math.max(0, perMilli * decay + amount / AVERAGING_MILLIS);
      lastMillis = Math.max(lastMillis, nowMillis);
    }

    /** The rate at a time; a young one is scaled up, as it has not yet reached its height. */
    double unbiasedPerMilli(long nowMillis) {
      double ageMillis = Math.max(MIN_AGE_MILLIS, (double) (lastMillis - firstMillis));
      double full = 1 - Math.exp(-ageMillis / AVERAGING_MILLIS);
      double decay = Math.exp(-Math.max(0, nowMillis - lastMillis) / AVERAGING_MILLIS);
      return perMilli * decay / full;
    }
  }

  /** When the windows of a series began, as seen here: the newest, and the one before. */
  private static final class SeriesWindows {
    String newest = "";
    long newestSinceMillis;
    String previous = "";
    long previousSinceMillis;

    /** A late use of it, such as a withdrawal, does not begin a window again. */
    String older = "";

    void use(String name, long nowMillis) {
      if (newest.equals(name) || previous.equals(name) || older.equals(name)) {
        return;
      }
      older = previous;
      previous = newest;
      previousSinceMillis = newestSinceMillis;
      newest = name;
      newestSinceMillis = nowMillis;
    }
  }

  private final Map<Key, Rate> rates = leastRecentlyUsed();
  private final Map<String, SeriesWindows> windows = leastRecentlyUsed();

  private static <K, V> Map<K, V> leastRecentlyUsed() {
    return new LinkedHashMap<>(16, 0.75f, true) {
      private static final long serialVersionUID = 1L;

      @Override
      protected boolean removeEldestEntry(Map.Entry<K, V> eldest) {
        return size() > MAX_ENTRIES;
      }
    };
  }

  /** An origin's net sum on a name has grown. */
  public void recordGrowth(String name, long origin, double amount, long nowMillis) {
    Key key = new Key(ReplicatedSum.series(name), origin);
    rates.computeIfAbsent(key, k -> new Rate(nowMillis)).add(amount, nowMillis);
    recordUse(name, nowMillis);
  }

  /** A name was added to or its total requested. */
  public void recordUse(String name, long nowMillis) {
    windows
        .computeIfAbsent(ReplicatedSum.series(name), series -> new SeriesWindows())
        .use(name, nowMillis);
  }

  /**
   * What an origin may have added to a name between when it was last seen and now: its rate then,
   * times the part of that time in which the name was the newest of its series.
   */
  public double estimateSince(String name, long origin, long lastSeenMillis, long nowMillis) {
    String series = ReplicatedSum.series(name);
    Rate rate = rates.get(new Key(series, origin));
    SeriesWindows of = windows.get(series);
    if (rate == null || of == null) {
      return 0;
    }
    boolean isNewest = of.newest.equals(name);
    if (!isNewest && !of.previous.equals(name)) {
      return 0;
    }
    long sinceMillis = isNewest ? of.newestSinceMillis : of.previousSinceMillis;
    long untilMillis = isNewest ? nowMillis : of.newestSinceMillis;
    long fromMillis = Math.max(lastSeenMillis, sinceMillis);
    return Math.max(0, untilMillis - fromMillis) * rate.unbiasedPerMilli(lastSeenMillis);
  }
}
