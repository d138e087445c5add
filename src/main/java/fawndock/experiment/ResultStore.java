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
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The stored results of an experiment in a folder: one JSON line for each run, forced to disk
 * before the run counts as done. Opening the folder removes an incomplete last line, which a
 * process that was stopped leaves behind. A file lock admits one process at a time; the object is
 * used by a single thread.
 */
public final class ResultStore implements AutoCloseable {
  /** Name of the copy of the experiment file of the last run, in the same folder. */
  public static final String EXPERIMENT_FILE = "experiment.conf";

  private static final String RESULTS_FILE = "results.jsonl";
  private static final ObjectMapper JSON = new ObjectMapper();
  private final Map<String, RunResult> resultsByKey = new LinkedHashMap<>();
  private final FileChannel channel;
  private final FileLock lock;

  private ResultStore(FileChannel channel, FileLock lock) {
    this.channel = channel;
    this.lock = lock;
  }

  /**
   * Opens a folder for appending; creates it when it does not exist.
   *
   * @throws IOException when the folder is already open or one of its lines is malformed
   */
  public static ResultStore open(Path folder) throws IOException {
    Files.createDirectories(folder);
    Path file = folder.resolve(RESULTS_FILE);
    FileChannel channel =
        FileChannel.open(
            file, StandardOpenOption.CREATE, StandardOpenOption.READ, StandardOpenOption.WRITE);
    try {
      FileLock lock = channel.tryLock();
      if (lock == null) {
        throw new IOException(file + " is in use by another process");
      }
      ResultStore store = new ResultStore(channel, lock);
      long completeLength = readLines(Files.readAllBytes(file), file, store.resultsByKey);
      channel.truncate(completeLength);
      channel.position(completeLength);
      return store;
    } catch (OverlappingFileLockException e) {
      channel.close();
      throw new IOException(file + " is in use by this process", e);
    } catch (IOException e) {
      channel.close();
      throw e;
    }
  }

  /**
   * Reads the results of the experiment that completed last in a folder, without those of other
   * settings, builds and experiments.
   *
   * @throws IOException when there is no result file, one of its lines is malformed, or it is
   *     unknown which results belong to the experiment
   */
  public static List<RunResult> readLatestExperiment(Path folder) throws IOException {
    return RunList.select(folder, read(folder));
  }

  /** Reads all results in a folder, ignoring an incomplete last line. */
  public static List<RunResult> read(Path folder) throws IOException {
    Path file = folder.resolve(RESULTS_FILE);
    if (!Files.isRegularFile(file)) {
      throw new IOException(
          file + ": no results found, expected what 'fawndock experiment' writes");
    }
    Map<String, RunResult> resultsByKey = new LinkedHashMap<>();
    readLines(Files.readAllBytes(file), file, resultsByKey);
    return List.copyOf(resultsByKey.values());
  }

  /** Parses all complete lines and returns the offset at which the last of them ends. */
  private static long readLines(byte[] bytes, Path file, Map<String, RunResult> resultsByKey)
      throws IOException {
    int lineStart = 0;
    int lineNumber = 0;
    for (int i = 0; i < bytes.length; i++) {
      if (bytes[i] == '\n') {
        lineNumber++;
        try {
          RunResult result =
              JSON.readValue(
                  new String(bytes, lineStart, i - lineStart, StandardCharsets.UTF_8),
                  RunResult.class);
          resultsByKey.putIfAbsent(result.key(), result);
        } catch (JsonProcessingException e) {
          throw new IOException(
              file
                  + ":"
                  + lineNumber
                  + ": not a result: "
                  + e.getOriginalMessage()
                  + ", expected a JSON line; move the file away to start again",
              e);
        }
        lineStart = i + 1;
      }
    }
    return lineStart;
  }

  /** Returns the stored results by their keys. */
  public Map<String, RunResult> resultsByKey() {
    return resultsByKey;
  }

  /** Appends a result and forces it to disk. */
  public void add(RunResult result) throws IOException {
    ByteBuffer line =
        ByteBuffer.wrap((JSON.writeValueAsString(result) + "\n").getBytes(StandardCharsets.UTF_8));
    while (line.hasRemaining()) {
      channel.write(line);
    }
    channel.force(false);
    resultsByKey.put(result.key(), result);
  }

  /**
   * Writes the figures of some results as CSV, a row for each, and replaces the file atomically.
   */
  public static void writeCsv(Path file, List<RunResult> results) throws IOException {
    Set<String> values = new LinkedHashSet<>();
    Set<String> figures = new LinkedHashSet<>();
    results.forEach(
        result -> {
          values.addAll(result.values().keySet());
          figures.addAll(result.figures().keySet());
        });
    CsvSchema.Builder schema = CsvSchema.builder();
    values.forEach(schema::addColumn);
    schema.addColumn("seed");
    figures.forEach(schema::addColumn);
    List<Map<String, Object>> rows = new ArrayList<>();
    for (RunResult result : results) {
      Map<String, Object> row = new LinkedHashMap<>(result.values());
      row.put("seed", result.seed());
      row.putAll(result.figures());
      rows.add(row);
    }
    AtomicFileWriter.write(
        file, new CsvMapper().writer(schema.build().withHeader()).writeValueAsString(rows));
  }

  @Override
  public void close() throws IOException {
    lock.release();
    channel.close();
  }
}
