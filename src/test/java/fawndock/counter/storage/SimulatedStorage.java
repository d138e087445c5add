package fawndock.counter.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * Simulated disk with the weakest permitted guarantees: at a crash each unsynced sector and each
 * unsynced change of the directory independently survives or is lost. It can be full, fail a sync
 * and lose the data covered by it, and crash at any call.
 */
public final class SimulatedStorage implements Storage {
  /** Simulates a crash of the process. */
  public static final class Crash extends Error {
    private static final long serialVersionUID = 1L;
  }

  private static final int SECTOR_BYTES = 32;

  /** Content of a file as visible to the process and as durable on the disk. */
  private static final class FileContent {
    byte[] visibleBytes = new byte[0];
    byte[] durableBytes = new byte[0];
    final List<long[]> unsyncedRanges =
        new ArrayList<>(); // Start and end of a write, or the new size and -1.
  }

  private final SplittableRandom random;
  private Map<String, FileContent> visibleFiles = new HashMap<>();
  private final Map<String, FileContent> durableFiles = new HashMap<>();
  private final List<Runnable> unsyncedChanges = new ArrayList<>();

  /** Remaining free space in bytes. */
  public long freeBytes = Long.MAX_VALUE;

  /** Number of the next file syncs that fail. */
  public int failingSyncs;

  /** Number of calls until the crash; negative for no crash. */
  public int callsUntilCrash = -1;

  public SimulatedStorage(long seed) {
    random = new SplittableRandom(seed);
  }

  private void countCall() {
    if (callsUntilCrash >= 0 && callsUntilCrash-- == 0) {
      throw new Crash();
    }
  }

  /** Continues with the state of the disk after a crash. */
  public void crash() {
    callsUntilCrash = -1;
    unsyncedChanges.stream().filter(change -> random.nextBoolean()).forEach(Runnable::run);
    unsyncedChanges.clear();
    visibleFiles = new HashMap<>(durableFiles);
    for (FileContent content : visibleFiles.values()) {
      persist(content);
      content.visibleBytes = content.durableBytes.clone();
    }
  }

  private void persist(FileContent content) {
    for (long[] range : content.unsyncedRanges) {
      if (range[1] < 0) {
        content.durableBytes =
            random.nextBoolean()
                ? Arrays.copyOf(
                    content.durableBytes, (int) Math.min(range[0], content.durableBytes.length))
                : content.durableBytes;
        continue;
      }
      for (long from = range[0];
          from < range[1];
          from = Math.min(range[1], (from / SECTOR_BYTES + 1) * SECTOR_BYTES)) {
        int to =
            (int)
                Math.min(
                    Math.min(range[1], (from / SECTOR_BYTES + 1) * SECTOR_BYTES),
                    content.visibleBytes.length);
        if (random.nextBoolean() && from < to) {
          content.durableBytes =
              Arrays.copyOf(content.durableBytes, Math.max(content.durableBytes.length, to));
          System.arraycopy(
              content.visibleBytes, (int) from, content.durableBytes, (int) from, to - (int) from);
        }
      }
    }
    content.unsyncedRanges.clear();
  }

  @Override
  public List<String> list() {
    return new ArrayList<>(visibleFiles.keySet());
  }

  @Override
  public File create(String name) {
    FileContent content = new FileContent();
    visibleFiles.put(name, content);
    unsyncedChanges.add(() -> durableFiles.put(name, content));
    countCall();
    return new OpenFile(content);
  }

  @Override
  public File open(String name) {
    return new OpenFile(visibleFiles.get(name));
  }

  @Override
  public void rename(String from, String to) {
    FileContent content = visibleFiles.remove(from);
    visibleFiles.put(to, content);
    unsyncedChanges.add(
        () -> {
          durableFiles.remove(from);
          durableFiles.put(to, content);
        });
    countCall();
  }

  @Override
  public void delete(String name) {
    visibleFiles.remove(name);
    unsyncedChanges.add(() -> durableFiles.remove(name));
    countCall();
  }

  @Override
  public void sync() {
    countCall();
    unsyncedChanges.forEach(Runnable::run);
    unsyncedChanges.clear();
    countCall();
  }

  /** Flips a bit of a byte in the visible and durable content of a file. */
  public void flipBit(String name, int offset) {
    visibleFiles.get(name).visibleBytes[offset] ^= 1;
    visibleFiles.get(name).durableBytes[offset] ^= 1;
  }

  /** An open file; writes and syncs may fail as configured. */
  private final class OpenFile implements File {
    private final FileContent content;

    OpenFile(FileContent content) {
      this.content = content;
    }

    @Override
    public long size() {
      return content.visibleBytes.length;
    }

    @Override
    public int read(ByteBuffer target, long offset) {
      int byteCount =
          (int) Math.max(0, Math.min(target.remaining(), content.visibleBytes.length - offset));
      target.put(content.visibleBytes, (int) offset, byteCount);
      return byteCount;
    }

    @Override
    public void write(ByteBuffer source, long offset) throws IOException {
      int requestedBytes = source.remaining();
      int byteCount = (int) Math.min(requestedBytes, freeBytes);
      freeBytes -= freeBytes == Long.MAX_VALUE ? 0 : byteCount;
      content.visibleBytes =
          Arrays.copyOf(
              content.visibleBytes,
              (int) Math.max(content.visibleBytes.length, offset + byteCount));
      source.get(content.visibleBytes, (int) offset, byteCount);
      content.unsyncedRanges.add(new long[] {offset, offset + byteCount});
      countCall();
      if (byteCount < requestedBytes) {
        throw new IOException("no space left");
      }
    }

    @Override
    public void truncate(long size) {
      content.visibleBytes =
          Arrays.copyOf(content.visibleBytes, (int) Math.min(size, content.visibleBytes.length));
      content.unsyncedRanges.add(new long[] {size, -1});
      countCall();
    }

    @Override
    public void sync() throws IOException {
      countCall();
      if (failingSyncs > 0) {
        failingSyncs--;
        persist(content); // Persists a random part; the rest is lost for good.
        throw new IOException("sync failed");
      }
      content.durableBytes = content.visibleBytes.clone();
      content.unsyncedRanges.clear();
      countCall();
    }

    @Override
    public void close() {}
  }
}
