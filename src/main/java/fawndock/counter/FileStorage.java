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

/** Stores the log and the snapshots in a directory of the file system. */
public final class FileStorage implements Storage, AutoCloseable {
  private final Path directory;
  private final FileChannel lockChannel;

  /**
   * Opens a directory. For exclusive use, creates it if it is missing and takes its lock.
   *
   * @param exclusive whether to take the lock; without the lock, files may only be read
   * @throws IOException also if another process holds the lock
   */
  public FileStorage(Path directory, boolean exclusive) throws IOException {
    this.directory = directory;
    if (!exclusive) {
      lockChannel = null;
      return;
    }
    Files.createDirectories(directory);
    // The lock keeps two processes from using one log. The operating system releases it when the
    // process ends, so a crash leaves no stale lock.
    lockChannel =
        FileChannel.open(
            directory.resolve("lock"), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
    FileLock lock;
    try {
      lock = lockChannel.tryLock();
    } catch (OverlappingFileLockException e) {
      lock = null;
    }
    if (lock == null) {
      lockChannel.close();
      throw new StorageInUseException(directory.toString());
    }
  }

  @Override
  public List<String> list() throws IOException {
    try (Stream<Path> files = Files.list(directory)) {
      return files.map(file -> file.getFileName().toString()).toList();
    }
  }

  @Override
  public File create(String name) throws IOException {
    return new OpenFile(
        FileChannel.open(
            directory.resolve(name),
            StandardOpenOption.CREATE,
            StandardOpenOption.TRUNCATE_EXISTING,
            StandardOpenOption.READ,
            StandardOpenOption.WRITE));
  }

  @Override
  public File open(String name) throws IOException {
    return new OpenFile(
        lockChannel == null
            ? FileChannel.open(directory.resolve(name), StandardOpenOption.READ)
            : FileChannel.open(
                directory.resolve(name), StandardOpenOption.READ, StandardOpenOption.WRITE));
  }

  @Override
  public void rename(String oldName, String newName) throws IOException {
    Files.move(
        directory.resolve(oldName), directory.resolve(newName), StandardCopyOption.ATOMIC_MOVE);
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
    if (lockChannel != null) {
      lockChannel.close();
    }
  }

  private record OpenFile(FileChannel channel) implements File {
    @Override
    public long size() throws IOException {
      return channel.size();
    }

    @Override
    public int read(ByteBuffer destination, long offset) throws IOException {
      int bytesRead = 0;
      for (int count = 0;
          destination.hasRemaining() && count >= 0;
          bytesRead += Math.max(0, count)) {
        count = channel.read(destination, offset + bytesRead);
      }
      return bytesRead;
    }

    @Override
    public void write(ByteBuffer source, long offset) throws IOException {
      for (long position = offset; source.hasRemaining(); ) {
        position += channel.write(source, position);
      }
    }

    @Override
    public void truncate(long size) throws IOException {
      channel.truncate(size);
    }

    // force(false) syncs the data and only the metadata needed to read it, such as the size.
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
