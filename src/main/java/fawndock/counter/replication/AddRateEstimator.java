package fawndock.counter.replication;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Estimates the growth rate of the net sums of each origin on each series of names, and from it the
 * amount that an unreachable origin may have added since it was last seen. Confined to one thread.
 *
 * <p>Without the estimate, each side of a network partition would count only its own requests. With
 * it, requests within the quota may be rejected while the other side adds less than it did before
 * the partition.
 */
public final class AddRateEstimator {
  /**
   * Time constant of the average rate, in milliseconds. At 15 adds per second it averages over
   * about 240 adds, an error of about 7%; a longer one would include outdated rates.
   */
  static final double AVERAGING_MILLIS = 8_000;

  /** Minimum age in milliseconds; a more recent rate is computed as if it had this age. */
  private static final double MIN_AGE_MILLIS = 300;

  private static final int MAX_ENTRIES = 200_000;

  /** Key of a rate: a series of names and an origin. */
  private record Key(String series, long origin) {}

  /** Exponentially weighted average of the amount added per millisecond. */
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

    /**
     * Returns the rate at a time, corrected for the startup bias of the average: a recent rate is
     * scaled up.
     */
    double unbiasedPerMilli(long nowMillis) {
      double ageMillis = Math.max(MIN_AGE_MILLIS, (double) (lastMillis - firstMillis));
      double warmUpFactor = 1 - Math.exp(-ageMillis / AVERAGING_MILLIS);
      double decay = Math.exp(-Math.max(0, nowMillis - lastMillis) / AVERAGING_MILLIS);
      return perMilli * decay / warmUpFactor;
    }
  }

  /** Start times of the newest and the previous window of a series, as seen by this node. */
  private static final class SeriesWindows {
    String newest = "";
    long newestSinceMillis;
    String previous = "";
    long previousSinceMillis;

    /**
     * Window before the previous one; a late use of it, such as a withdrawal, does not start a new
     * window.
     */
    String beforePrevious = "";

    void recordWindow(String name, long nowMillis) {
      if (newest.equals(name) || previous.equals(name) || beforePrevious.equals(name)) {
        return;
      }
      beforePrevious = previous;
      previous = newest;
      previousSinceMillis = newestSinceMillis;
      newest = name;
      newestSinceMillis = nowMillis;
    }
  }

  private final Map<Key, Rate> ratesByKey = newLruMap();
  private final Map<String, SeriesWindows> windowsBySeries = newLruMap();

  private static <K, V> Map<K, V> newLruMap() {
    return new LinkedHashMap<>(16, 0.75f, true) {
      private static final long serialVersionUID = 1L;

      @Override
      protected boolean removeEldestEntry(Map.Entry<K, V> eldest) {
        return size() > MAX_ENTRIES;
      }
    };
  }

  /** Records growth of the net sum of an origin on a name. */
  public void recordGrowth(String name, long origin, double amount, long nowMillis) {
    Key key = new Key(ReplicatedSum.series(name), origin);
    ratesByKey.computeIfAbsent(key, k -> new Rate(nowMillis)).add(amount, nowMillis);
    recordUse(name, nowMillis);
  }

  /** Records that a name was added to or its total was requested. */
  public void recordUse(String name, long nowMillis) {
    windowsBySeries
        .computeIfAbsent(ReplicatedSum.series(name), series -> new SeriesWindows())
        .recordWindow(name, nowMillis);
  }

  /**
   * Returns the estimated amount that an origin has added to a name since it was last seen: its
   * rate at that time, multiplied by the time since then during which the name was the newest
   * window of its series.
   */
  public double estimateSince(String name, long origin, long lastSeenMillis, long nowMillis) {
    String series = ReplicatedSum.series(name);
    Rate rate = ratesByKey.get(new Key(series, origin));
    SeriesWindows seriesWindows = windowsBySeries.get(series);
    if (rate == null || seriesWindows == null) {
      return 0;
    }
    boolean isNewest = seriesWindows.newest.equals(name);
    if (!isNewest && !seriesWindows.previous.equals(name)) {
      return 0;
    }
    long windowStartMillis =
        isNewest ? seriesWindows.newestSinceMillis : seriesWindows.previousSinceMillis;
    long windowEndMillis = isNewest ? nowMillis : seriesWindows.newestSinceMillis;
    long fromMillis = Math.max(lastSeenMillis, windowStartMillis);
    return Math.max(0, windowEndMillis - fromMillis) * rate.unbiasedPerMilli(lastSeenMillis);
  }
}
