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
 * A disk that keeps no promise that it need not keep: at a crash each unsynced sector, and each
 * unsynced change of the directory, is there or not by itself. It can be full, fail a sync and lose
 * what that covered, and crash at any call.
 */
public final class SimulatedStorage implements Storage {
  /** The process is gone. */
  public static final class Crash extends Error {
    private static final long serialVersionUID = 1L;
  }

  private static final int SECTOR = 32;

  private static final class FileContent {
    byte[] seen = new byte[0];
    byte[] kept = new byte[0];
    final List<long[]> unsynced = new ArrayList<>(); // From and to, or a size cut to and -1.
  }

  private final SplittableRandom random;
  private Map<String, FileContent> seen = new HashMap<>();
  private final Map<String, FileContent> kept = new HashMap<>();
  private final List<Runnable> unsynced = new ArrayList<>();

  /** Bytes that can still be written. */
  public long freeBytes = Long.MAX_VALUE;

  /** Syncs of files that fail from now on. */
  public int failingSyncs;

  /** Calls until the crash; below 0 for none. */
  public int callsUntilCrash = -1;

  public SimulatedStorage(long seed) {
    random = new SplittableRandom(seed);
  }

  private void call() {
    if (callsUntilCrash >= 0 && callsUntilCrash-- == 0) {
      throw new Crash();
    }
  }

  /** What is left after the crash: the disk goes on as that. */
  public void crash() {
    callsUntilCrash = -1;
    unsynced.stream().filter(op -> random.nextBoolean()).forEach(Runnable::run);
    unsynced.clear();
    seen = new HashMap<>(kept);
    for (FileContent node : seen.values()) {
      persist(node);
      node.seen = node.kept.clone();
    }
  }

  private void persist(FileContent node) {
    for (long[] op : node.unsynced) {
      if (op[1] < 0) {
        node.kept =
            random.nextBoolean()
                ? Arrays.copyOf(node.kept, (int) Math.min(op[0], node.kept.length))
                : node.kept;
        continue;
      }
      for (long from = op[0]; from < op[1]; from = Math.min(op[1], (from / SECTOR + 1) * SECTOR)) {
        int to = (int) Math.min(Math.min(op[1], (from / SECTOR + 1) * SECTOR), node.seen.length);
        if (random.nextBoolean() && from < to) {
          node.kept = Arrays.copyOf(node.kept, Math.max(node.kept.length, to));
          System.arraycopy(node.seen, (int) from, node.kept, (int) from, to - (int) from);
        }
      }
    }
    node.unsynced.clear();
  }

  @Override
  public List<String> list() {
    return new ArrayList<>(seen.keySet());
  }

  @Override
  public File create(String name) {
    FileContent node = new FileContent();
    seen.put(name, node);
    unsynced.add(() -> kept.put(name, node));
    call();
    return new OpenFile(node);
  }

  @Override
  public File open(String name) {
    return new OpenFile(seen.get(name));
  }

  @Override
  public void rename(String from, String to) {
    FileContent node = seen.remove(from);
    seen.put(to, node);
    unsynced.add(
        () -> {
          kept.remove(from);
          kept.put(to, node);
        });
    call();
  }

  @Override
  public void delete(String name) {
    seen.remove(name);
    unsynced.add(() -> kept.remove(name));
    call();
  }

  @Override
  public void sync() {
    call();
    unsynced.forEach(Runnable::run);
    unsynced.clear();
    call();
  }

  /** Changes a byte on the disk itself. */
  public void flipBit(String name, int at) {
    seen.get(name).seen[at] ^= 1;
    seen.get(name).kept[at] ^= 1;
  }

  private final class OpenFile implements File {
    private final FileContent node;

    OpenFile(FileContent node) {
      this.node = node;
    }

    @Override
    public long size() {
      return node.seen.length;
    }

    @Override
    public int read(ByteBuffer to, long at) {
      int many = (int) Math.max(0, Math.min(to.remaining(), node.seen.length - at));
      to.put(node.seen, (int) at, many);
      return many;
    }

    @Override
    public void write(ByteBuffer from, long at) throws IOException {
      int wanted = from.remaining();
      int many = (int) Math.min(wanted, freeBytes);
      freeBytes -= freeBytes == Long.MAX_VALUE ? 0 : many;
      node.seen = Arrays.copyOf(node.seen, (int) Math.max(node.seen.length, at + many));
      from.get(node.seen, (int) at, many);
      node.unsynced.add(new long[] {at, at + many});
      call();
      if (many < wanted) {
        throw new IOException("no space left");
      }
    }

    @Override
    public void truncate(long size) {
      node.seen = Arrays.copyOf(node.seen, (int) Math.min(size, node.seen.length));
      node.unsynced.add(new long[] {size, -1});
      call();
    }

    @Override
    public void sync() throws IOException {
      call();
      if (failingSyncs > 0) {
        failingSyncs--;
        persist(node); // Some of it; the rest is never tried again.
        throw new IOException("sync failed");
      }
      node.kept = node.seen.clone();
      node.unsynced.clear();
      call();
    }

    @Override
    public void close() {}
  }
}
