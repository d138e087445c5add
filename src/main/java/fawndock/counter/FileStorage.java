package fawndock.counter;

import fawndock.counter.storage.Storage;
import fawndock.counter.storage.StorageInUseException;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.List;
import java.util.stream.Stream;

/** A directory of the file system. */
public final class FileStorage implements Storage, AutoCloseable {
  private final Path directory;
  private final FileChannel lockFile;

  /**
   * Makes the directory if need be and takes its lock.
   *
   * @param locked whether to take the lock; without it, only read
   * @throws IOException also when another process has the lock
   */
  public FileStorage(Path directory, boolean locked) throws IOException {
    this.directory = directory;
    if (!locked) {
      lockFile = null;
      return;
    }
    Files.createDirectories(directory);
    // Guards against two processes on one log. The lock goes with its process, so none is left by a
    // crash.
    lockFile =
        FileChannel.open(
            directory.resolve("lock"), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
    FileLock lock;
    try {
      lock = lockFile.tryLock();
    } catch (OverlappingFileLockException e) {
      lock = null;
    }
    if (lock == null) {
      lockFile.close();
      throw new StorageInUseException(directory.toString());
    }
  }

  @Override
  public List<String> list() throws IOException {
    try (Stream<Path> files = Files.list(directory)) {
      return files.map(p -> p.getFileName().toString()).toList();
    }
  }

  @Override
  public File create(String name) throws IOException {
    return new Open(
        FileChannel.open(
            directory.resolve(name),
            StandardOpenOption.CREATE,
            StandardOpenOption.TRUNCATE_EXISTING,
            StandardOpenOption.READ,
            StandardOpenOption.WRITE));
  }

  @Override
  public File open(String name) throws IOException {
    return new Open(
        lockFile == null
            ? FileChannel.open(directory.resolve(name), StandardOpenOption.READ)
            : FileChannel.open(
                directory.resolve(name), StandardOpenOption.READ, StandardOpenOption.WRITE));
  }

  @Override
  public void rename(String from, String to) throws IOException {
    Files.move(directory.resolve(from), directory.resolve(to), StandardCopyOption.ATOMIC_MOVE);
  }

  @Override
  public void delete(String name) throws IOException {
    Files.deleteIfExists(directory.resolve(name));
  }

  @Override
  public void sync() throws IOException {
    try (FileChannel channel = FileChannel.open(directory, StandardOpenOption.READ)) {
      channel.force(true);
    }
  }

  @Override
  public void close() throws IOException {
    if (lockFile != null) {
      lockFile.close();
    }
  }

  private record Open(FileChannel channel) implements File {
    @Override
    public long size() throws IOException {
      return channel.size();
    }

    @Override
    public int read(ByteBuffer to, long at) throws IOException {
      int all = 0;
      for (int many = 0; to.hasRemaining() && many >= 0; all += Math.max(0, many)) {
        many = channel.read(to, at + all);
      }
      return all;
    }

    @Override
    public void write(ByteBuffer from, long at) throws IOException {
      for (long to = at; from.hasRemaining(); ) {
        to += channel.write(from, to);
      }
    }

    @Override
    public void truncate(long size) throws IOException {
      channel.truncate(size);
    }

    // Data alone, and of the metadata what is needed to read it again, such as the size.
    @Override
    public void sync() throws IOException {
      channel.force(false);
    }

    @Override
    public void close() throws IOException {
      channel.close();
    }
  }
}
