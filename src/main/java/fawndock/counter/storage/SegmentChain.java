package fawndock.counter.storage;

import java.io.IOException;
import java.util.NavigableMap;

/**
 * The segments of a log that follow a snapshot. Recovery and verification share its rule: the chain
 * starts with the last segment that starts at or before the first record after the snapshot, and
 * each later segment starts with the record after the end of the previous one.
 */
final class SegmentChain {
  private final NavigableMap<Long, String> segments;
  private final Long firstNeeded;

  private SegmentChain(NavigableMap<Long, String> segments, long baseSequence) {
    this.segments = segments;
    firstNeeded = segments.floorKey(baseSequence + 1);
  }

  /**
   * Returns the chain after a snapshot.
   *
   * @param baseSequence sequence number of the last record that the snapshot covers, 0 for no
   *     snapshot
   */
  static SegmentChain after(Storage storage, long baseSequence) throws IOException {
    return new SegmentChain(LogFormat.FileKind.SEGMENT.filesBySequence(storage), baseSequence);
  }

  /** Returns all segments by the sequence number of their first record. */
  NavigableMap<Long, String> all() {
    return segments;
  }

  /** Returns the first sequence number of the chain, or null if no segment starts early enough. */
  Long firstNeeded() {
    return firstNeeded;
  }

  /** Returns whether the snapshot covers all records of a segment. */
  boolean isCovered(long firstSequence) {
    return firstNeeded != null && firstSequence < firstNeeded;
  }

  boolean isNewest(long firstSequence) {
    return firstSequence == segments.lastKey();
  }

  /**
   * Returns the start of an error message about the records missing before a segment; the caller
   * appends the name of the segment.
   */
  static String missingRecords(long expectedFirst, long foundFirst) {
    return "records " + expectedFirst + " to " + (foundFirst - 1) + " are missing before ";
  }
}
