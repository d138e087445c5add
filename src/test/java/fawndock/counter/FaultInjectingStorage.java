package fawndock.counter;

import fawndock.counter.storage.Storage;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.concurrent.Semaphore;

/** A directory whose log can be full, slow to sync, or fail a sync. */
final class FaultInjectingStorage implements Storage {
  private final Storage delegate;
  volatile boolean isFull;
  volatile boolean failNextSync;

  /** Held by a test so that syncs of files wait. */
  final Semaphore syncPermits = new Semaphore(1);

  /** Whether each sync of a file takes a permit for good. */
  volatile boolean isStepping;

  FaultInjectingStorage(Storage delegate) {
    this.delegate = delegate;
  }

  @Override
  public List<String> list() throws IOException {
    return delegate.list();
  }

  @Override
  public File create(String name) throws IOException {
    return new FaultInjectingFile(delegate.create(name));
  }

  @Override
  public File open(String name) throws IOException {
    return delegate.open(name);
  }

  @Override
  public void rename(String from, String to) throws IOException {
    delegate.rename(from, to);
  }

  @Override
  public void delete(String name) throws IOException {
    delegate.delete(name);
  }

  @Override
  public void sync() throws IOException {
    delegate.sync();
  }

  private final class FaultInjectingFile implements File {
    private final File file;

    FaultInjectingFile(File file) {
      this.file = file;
    }

    @Override
    public long size() throws IOException {
      return file.size();
    }

    @Override
    public int read(ByteBuffer to, long at) throws IOException {
      return file.read(to, at);
    }

    @Override
    public void write(ByteBuffer from, long at) throws IOException {
      if (isFull) {
        file.write(from.duplicate().limit(from.position() + from.remaining() / 2), at);
        throw new IOException("no space left");
      }
      file.write(from, at);
    }

    @Override
    public void truncate(long size) throws IOException {
      file.truncate(size);
    }

    @Override
    public void sync() throws IOException {
      syncPermits.acquireUninterruptibly();
      syncPermits.release(isStepping ? 0 : 1);
      if (failNextSync) {
        failNextSync = false;
        throw new IOException("sync failed");
      }
      file.sync();
    }

    @Override
    public void close() throws IOException {
      file.close();
    }
  }
}
