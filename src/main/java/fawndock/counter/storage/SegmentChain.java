package fawndock.counter.storage;

import java.io.IOException;
import java.util.NavigableMap;

/**
 * The segments of a log after a snapshot: which of them are needed, and what is missing. Recovery
 * and verification share this rule: the chain begins with the last segment that begins at or before
 * the record after the snapshot, and each later one begins right after the one before it ended.
 */
final class SegmentChain {
  private final NavigableMap<Long, String> segments;
  private final Long firstNeeded;

  private SegmentChain(NavigableMap<Long, String> segments, long baseSequence) {
    this.segments = segments;
    firstNeeded = segments.floorKey(baseSequence + 1);
  }

  /**
   * The chain after a snapshot.
   *
   * @param baseSequence the last record that the snapshot covers, 0 for no snapshot
   */
  static SegmentChain after(Storage storage, long baseSequence) throws IOException {
    return new SegmentChain(LogFormat.FileKind.SEGMENT.filesBySequence(storage), baseSequence);
  }

  /** All segments by the sequence of their first record. */
  NavigableMap<Long, String> all() {
    return segments;
  }

  /** The sequence with which the chain begins, or null when no segment begins early enough. */
  Long firstNeeded() {
    return firstNeeded;
  }

  /** Whether the snapshot covers all of a segment. */
  boolean isCovered(long firstRecord) {
    return firstNeeded != null && firstRecord < firstNeeded;
  }

  boolean isNewest(long firstRecord) {
    return firstRecord == segments.lastKey();
  }

  /** What is missing before a segment that should have begun earlier; an unfinished clause. */
  static String missingRecords(long expectedFirst, long foundFirst) {
    return "records " + expectedFirst + " to " + (foundFirst - 1) + " are missing before ";
  }
}
