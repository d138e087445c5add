package fawndock.cli;

import java.time.Instant;
import java.util.Map;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.ConcurrentHashMap;
import org.slf4j.ILoggerFactory;
import org.slf4j.IMarkerFactory;
import org.slf4j.Logger;
import org.slf4j.Marker;
import org.slf4j.event.Level;
import org.slf4j.helpers.BasicMarkerFactory;
import org.slf4j.helpers.LegacyAbstractLogger;
import org.slf4j.helpers.MessageFormatter;
import org.slf4j.helpers.NOPMDCAdapter;
import org.slf4j.spi.MDCAdapter;
import org.slf4j.spi.SLF4JServiceProvider;

/**
 * The slf4j provider of {@code fawndock platform}. It writes each event to standard error as a line
 * of text with time, level, simple class name and message. Lines pass through a bounded queue to a
 * writer thread, so that a stalled reader of standard error does not block the event loop; when the
 * queue is full, lines are dropped. It replaces logback, which takes a sixth of the start time on a
 * small core. Loggers are thread-safe.
 */
public final class PlainLog implements SLF4JServiceProvider {
  private static final int MAX_QUEUED_LINES = 1_024;
  private static final long FLUSH_TIMEOUT_MILLIS = 300;
  private static final ArrayBlockingQueue<String> LINES =
      new ArrayBlockingQueue<>(MAX_QUEUED_LINES);
  private static Thread writer;

  private final Map<String, Logger> loggers = new ConcurrentHashMap<>();
  private final IMarkerFactory markers = new BasicMarkerFactory();
  private final MDCAdapter context = new NOPMDCAdapter();

  /** Makes slf4j use this provider. Must be called before the first logger is created. */
  static void install() {
    System.setProperty("slf4j.provider", PlainLog.class.getName());
    writer = new Thread(PlainLog::writeLines, "log");
    writer.setDaemon(true);
    writer.start();
  }

  private static void writeLines() {
    try {
      while (true) {
        System.err.print(LINES.take());
      }
    } catch (InterruptedException e) {
      // Interrupted by flush(): writes the queued lines and ends the thread.
      for (String line = LINES.poll(); line != null; line = LINES.poll()) {
        System.err.print(line);
      }
    }
  }

  /**
   * Writes the queued lines and stops the writer thread, waiting at most {@link
   * #FLUSH_TIMEOUT_MILLIS}. Idempotent.
   */
  static void flush() {
    if (writer != null) {
      writer.interrupt();
      try {
        writer.join(FLUSH_TIMEOUT_MILLIS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
  }

  @Override
  public ILoggerFactory getLoggerFactory() {
    return name -> loggers.computeIfAbsent(name, PlainLogger::new);
  }

  @Override
  public IMarkerFactory getMarkerFactory() {
    return markers;
  }

  @Override
  public MDCAdapter getMDCAdapter() {
    return context;
  }

  @Override
  public String getRequestedApiVersion() {
    return "2.0.99";
  }

  @Override
  public void initialize() {
    // Nothing to set up.
  }

  /** Logs this program's events from level INFO, and those of libraries from level WARN. */
  private static final class PlainLogger extends LegacyAbstractLogger {
    private static final long serialVersionUID = 1L;
    private static final String OWN_PACKAGE = "fawndock";

    private final boolean isOwnPackage;

    PlainLogger(String name) {
      this.name = name.substring(name.lastIndexOf('.') + 1);
      this.isOwnPackage = name.startsWith(OWN_PACKAGE);
    }

    @Override
    protected String getFullyQualifiedCallerName() {
      return null;
    }

    @Override
    protected void handleNormalizedLoggingCall(
        Level level, Marker marker, String message, Object[] arguments, Throwable cause) {
      StringBuilder line = new StringBuilder(Instant.now().toString());
      line.append(' ').append(level);
      line.append(' ').append(name);
      line.append(' ').append(MessageFormatter.basicArrayFormat(message, arguments));
      line.append('\n');
      for (Throwable current = cause; current != null; current = current.getCause()) {
        appendStackTrace(line, current);
      }
      // The line is dropped when the queue is full.
      boolean unused = LINES.offer(line.toString());
    }

    private static void appendStackTrace(StringBuilder line, Throwable cause) {
      line.append("  ").append(cause).append('\n');
      for (StackTraceElement frame : cause.getStackTrace()) {
        line.append("    at ").append(frame).append('\n');
      }
    }

    @Override
    public boolean isTraceEnabled() {
      return false;
    }

    @Override
    public boolean isDebugEnabled() {
      return false;
    }

    @Override
    public boolean isInfoEnabled() {
      return isOwnPackage;
    }

    @Override
    public boolean isWarnEnabled() {
      return true;
    }

    @Override
    public boolean isErrorEnabled() {
      return true;
    }
  }
}
