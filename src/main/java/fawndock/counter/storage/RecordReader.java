package fawndock.counter.storage;

import java.io.IOException;
import java.nio.ByteBuffer;

/**
 * Reads the records of a log or snapshot file one after the other, a piece of the file in memory at
 * a time.
 */
public final class RecordReader {
  private static final int PIECE = LogFormat.LONGEST_BODY + LogFormat.RECORD_HEADER;
  private final Storage.File file;
  private final long size;
  private final ByteBuffer piece;
  private long pieceAt;
  private long at = LogFormat.FILE_HEADER;
  private long sequence;
  private ByteBuffer body;

  /**
   * @param sequence that the first record must have
   */
  public RecordReader(Storage.File file, long sequence) throws IOException {
    this.file = file;
    this.size = file.size();
    this.sequence = sequence - 1;
    piece = ByteBuffer.allocate((int) Math.min(2 * PIECE, size)).limit(0);
  }

  /** Whether the file begins as such a file must. */
  public boolean begins(LogFormat.Kind kind, long first) throws IOException {
    load(0, LogFormat.FILE_HEADER);
    return kind.begins(piece.duplicate().position(0).slice(), first);
  }

  /**
   * Goes to the next record; false at the end of the file and at a record that is not whole or out
   * of sequence. Then {@link #offset} is where that is.
   */
  public boolean next() throws IOException {
    int length = whole(at, sequence + 1, sequence + 1);
    if (length < 0) {
      return false;
    }
    int place = (int) (at - pieceAt) + LogFormat.RECORD_HEADER;
    body = piece.duplicate().limit(place + length).position(place);
    sequence++;
    at += LogFormat.RECORD_HEADER + length;
    return true;
  }

  /** The length of the whole record at an offset whose sequence is in a range, or -1. */
  private int whole(long offset, long least, long most) throws IOException {
    if (size - offset <= LogFormat.RECORD_HEADER) {
      return -1;
    }
    load(offset, PIECE);
    int place = (int) (offset - pieceAt);
    int length = piece.getInt(place);
    long found = piece.getLong(place + 8);
    if (length < LogFormat.TIME
        || length > LogFormat.LONGEST_BODY
        || found < least
        || found > most
        || length > size - offset - LogFormat.RECORD_HEADER) {
      return -1;
    }
    return LogFormat.checksum(piece, place, length) == piece.getInt(place + 4) ? length : -1;
  }

  private void load(long offset, int bytes) throws IOException {
    if (offset >= pieceAt && Math.min(size, offset + bytes) <= pieceAt + piece.limit()) {
      return;
    }
    piece.clear();
    file.read(piece, offset);
    piece.flip();
    pieceAt = offset;
    if (piece.limit() < Math.min(bytes, size - offset)) {
      throw new IOException(
          "the file ended at " + (offset + piece.limit()) + " instead of " + size);
    }
  }

  /**
   * Whether any whole record with a later sequence begins after the offset at which reading ended.
   */
  public boolean wholeLater() throws IOException {
    long most = sequence + 1 + (size - at) / LogFormat.RECORD_HEADER;
    for (long offset = at + 1; offset < size - LogFormat.RECORD_HEADER; offset++) {
      if (whole(offset, sequence + 1, most) >= 0) {
        return true;
      }
    }
    return false;
  }

  /** The body of the record that was read last; good until the next is read. */
  public ByteBuffer body() {
    return body.duplicate();
  }

  /** Sequence of the record that was read last. */
  public long sequence() {
    return sequence;
  }

  /** Where the next record begins, in bytes. */
  public long offset() {
    return at;
  }

  /** Bytes of the file. */
  public long size() {
    return size;
  }
}
