package fawndock.counter.storage;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.List;

/**
 * A directory, as far as the log needs it. What is not yet synced may be lost at a crash, in any
 * part.
 */
public interface Storage {
  /** Names of all files, in no order. */
  List<String> list() throws IOException;

  /** Makes an empty file, in place of one of that name. */
  File create(String name) throws IOException;

  /** Opens a file that is there. */
  File open(String name) throws IOException;

  /** Puts a file in place of another at once; after a crash there is one or the other. */
  void rename(String from, String to) throws IOException;

  /** Removes a file; none of that name is no error. */
  void delete(String name) throws IOException;

  /** Makes what was created, renamed and deleted outlast a crash. */
  void sync() throws IOException;

  /** An open file. */
  interface File extends Closeable {
    long size() throws IOException;

    /** Reads until the buffer is full or the file ends; returns the bytes read. */
    int read(ByteBuffer to, long at) throws IOException;

    /** Writes all of the buffer; when it fails, any part may have been written. */
    void write(ByteBuffer from, long at) throws IOException;

    void truncate(long size) throws IOException;

    /** Makes what was written outlast a crash. */
    void sync() throws IOException;

    @Override
    void close() throws IOException;
  }
}
