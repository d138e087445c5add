package fawndock.experiment;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.dataformat.csv.CsvMapper;
import com.fasterxml.jackson.dataformat.csv.CsvSchema;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The results of an experiment in a folder: one JSON line for each run, written whole and flushed
 * before the run counts as done. A line that was cut off by a stop is taken off when the folder is
 * opened again. One process at a time.
 */
public final class ResultStore implements AutoCloseable {
  /** The experiment as it was run last, in the same folder. */
  public static final String EXPERIMENT_FILE = "experiment.conf";

  private static final String LINES = "results.jsonl";
  private static final ObjectMapper JSON = new ObjectMapper();
  private final Map<String, RunResult> outcomes = new LinkedHashMap<>();
  private final FileChannel channel;
  private final FileLock lock;

  private ResultStore(FileChannel channel, FileLock lock) {
    this.channel = channel;
    this.lock = lock;
  }

  /**
   * Opens a folder to add to it, and makes it when there is none.
   *
   * @throws IOException when another process has it open, or a line in it is damaged
   */
  public static ResultStore open(Path folder) throws IOException {
    Files.createDirectories(folder);
    Path file = folder.resolve(LINES);
    FileChannel channel =
        FileChannel.open(
            file, StandardOpenOption.CREATE, StandardOpenOption.READ, StandardOpenOption.WRITE);
    try {
      FileLock lock = channel.tryLock();
      if (lock == null) {
        throw new IOException(file + " is in use by another process");
      }
      ResultStore results = new ResultStore(channel, lock);
      long whole = read(Files.readAllBytes(file), file, results.outcomes);
      channel.truncate(whole);
      channel.position(whole);
      return results;
    } catch (OverlappingFileLockException e) {
      channel.close();
      throw new IOException(file + " is in use by this process", e);
    } catch (IOException e) {
      channel.close();
      throw e;
    }
  }

  /** Reads what is in a folder, without the last line when it is cut off. */
  public static List<RunResult> read(Path folder) throws IOException {
    Path file = folder.resolve(LINES);
    if (!Files.isRegularFile(file)) {
      throw new IOException(file + ": no results there, expected what 'fawndock experiment' wrote");
    }
    Map<String, RunResult> all = new LinkedHashMap<>();
    read(Files.readAllBytes(file), file, all);
    return List.copyOf(all.values());
  }

  /** Returns where the last whole line ends. */
  private static long read(byte[] bytes, Path file, Map<String, RunResult> into)
      throws IOException {
    int begin = 0;
    int number = 0;
    for (int i = 0; i < bytes.length; i++) {
      if (bytes[i] == '\n') {
        number++;
        try {
          RunResult each =
              JSON.readValue(
                  new String(bytes, begin, i - begin, StandardCharsets.UTF_8), RunResult.class);
          into.putIfAbsent(each.key(), each);
        } catch (JsonProcessingException e) {
          throw new IOException(
              file
                  + ":"
                  + number
                  + ": not a result: "
                  + e.getOriginalMessage()
                  + ", expected a JSON line; move the file away to begin anew",
              e);
        }
        begin = i + 1;
      }
    }
    return begin;
  }

  /** What is there, by its key. */
  public Map<String, RunResult> outcomes() {
    return outcomes;
  }

  /** Adds a run, which is on the disk when this returns. */
  public void add(RunResult outcome) throws IOException {
    ByteBuffer line =
        ByteBuffer.wrap((JSON.writeValueAsString(outcome) + "\n").getBytes(StandardCharsets.UTF_8));
    while (line.hasRemaining()) {
      channel.write(line);
    }
    channel.force(false);
    outcomes.put(outcome.key(), outcome);
  }

  /** Writes the figures of some runs as CSV, a row for each; the file is put in its place whole. */
  public static void writeCsv(Path file, List<RunResult> outcomes) throws IOException {
    Set<String> values = new LinkedHashSet<>();
    Set<String> figures = new LinkedHashSet<>();
    outcomes.forEach(
        o -> {
          values.addAll(o.values().keySet());
          figures.addAll(o.figures().keySet());
        });
    CsvSchema.Builder schema = CsvSchema.builder();
    values.forEach(schema::addColumn);
    schema.addColumn("seed");
    figures.forEach(schema::addColumn);
    List<Map<String, Object>> rows = new ArrayList<>();
    for (RunResult each : outcomes) {
      Map<String, Object> row = new LinkedHashMap<>(each.values());
      row.put("seed", each.seed());
      row.putAll(each.figures());
      rows.add(row);
    }
    Path whole = file.resolveSibling(file.getFileName() + ".new");
    Files.writeString(
        whole, new CsvMapper().writer(schema.build().withHeader()).writeValueAsString(rows));
    Files.move(whole, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
  }

  @Override
  public void close() throws IOException {
    lock.release();
    channel.close();
  }
}
