package fawndock.counter.storage;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.List;

/** The directory of a log. A crash may lose any part of the changes that are not synced yet. */
public interface Storage {
  /** Returns the names of all files in no particular order. */
  List<String> list() throws IOException;

  /** Creates an empty file, replacing any file of the same name. */
  File create(String name) throws IOException;

  /** Opens an existing file. */
  File open(String name) throws IOException;

  /**
   * Renames a file atomically, replacing any file of the new name; after a crash one of the two
   * exists under that name.
   */
  void rename(String from, String to) throws IOException;

  /** Deletes a file if it exists. */
  void delete(String name) throws IOException;

  /** Makes all creations, renames and deletions durable. */
  void sync() throws IOException;

  /** An open file. */
  interface File extends Closeable {
    long size() throws IOException;

    /** Reads until the buffer is full or the file ends; returns the number of bytes read. */
    int read(ByteBuffer target, long offset) throws IOException;

    /** Writes the whole buffer; after a failure any part may have been written. */
    void write(ByteBuffer source, long offset) throws IOException;

    void truncate(long size) throws IOException;

    /** Makes all writes to the file durable. */
    void sync() throws IOException;

    @Override
    void close() throws IOException;
  }
}
