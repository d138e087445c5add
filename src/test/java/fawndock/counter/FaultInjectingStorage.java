package fawndock.counter;

import fawndock.counter.storage.Storage;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.concurrent.Semaphore;

/** Storage that can be full, sync slowly or fail a sync. Tests control it from another thread. */
final class FaultInjectingStorage implements Storage {
  private final Storage delegate;
  volatile boolean isFull;
  volatile boolean failNextSync;

  /** A test acquires the permits to make syncs of files wait. */
  final Semaphore syncPermits = new Semaphore(1);

  /** Whether each sync of a file consumes its permit instead of returning it. */
  volatile boolean consumesSyncPermits;

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
  public void rename(String oldName, String newName) throws IOException {
    delegate.rename(oldName, newName);
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
    public int read(ByteBuffer destination, long offset) throws IOException {
      return file.read(destination, offset);
    }

    @Override
    public void write(ByteBuffer source, long offset) throws IOException {
      if (isFull) {
        file.write(source.duplicate().limit(source.position() + source.remaining() / 2), offset);
        throw new IOException("no space left");
      }
      file.write(source, offset);
    }

    @Override
    public void truncate(long size) throws IOException {
      file.truncate(size);
    }

    @Override
    public void sync() throws IOException {
      syncPermits.acquireUninterruptibly();
      syncPermits.release(consumesSyncPermits ? 0 : 1);
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
