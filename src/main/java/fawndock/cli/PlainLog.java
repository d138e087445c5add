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
 * The log of the platform's way in: lines of text on standard error, from a bounded queue by a
 * thread of its own, so that a reader who stops does not stop the event loop. Where a machine is a
 * third of a core, the logging library alone took a sixth of a start.
 */
public final class PlainLog implements SLF4JServiceProvider {
  private static final int QUEUE = 1_024;
  private static final long FLUSH_MILLIS = 300;
  private static final ArrayBlockingQueue<String> LINES = new ArrayBlockingQueue<>(QUEUE);
  private static Thread writer;
  private final Map<String, Logger> loggers = new ConcurrentHashMap<>();
  private final IMarkerFactory markers = new BasicMarkerFactory();
  private final MDCAdapter context = new NOPMDCAdapter();

  /** Has slf4j use this; to be called before the first logger is asked for. */
  static void use() {
    System.setProperty("slf4j.provider", PlainLog.class.getName());
    writer =
        new Thread(
            () -> {
              try {
                while (true) {
                  System.err.print(LINES.take());
                }
              } catch (InterruptedException e) {
                for (String line = LINES.poll(); line != null; line = LINES.poll()) {
                  System.err.print(line);
                }
              }
            },
            "log");
    writer.setDaemon(true);
    writer.start();
  }

  /** Writes out what is queued, within a moment. */
  static void flush() {
    if (writer != null) {
      writer.interrupt();
      try {
        writer.join(FLUSH_MILLIS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
  }

  @Override
  public ILoggerFactory getLoggerFactory() {
    return name -> loggers.computeIfAbsent(name, Line::new);
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
    // Nothing is to be set up.
  }

  /** One logger: information of the program's own, warnings of the libraries. */
  private static final class Line extends LegacyAbstractLogger {
    private static final long serialVersionUID = 1L;
    private final boolean own;

    Line(String name) {
      this.name = name.substring(name.lastIndexOf('.') + 1);
      this.own = name.startsWith("fawndock");
    }

    @Override
    protected String getFullyQualifiedCallerName() {
      return null;
    }

    @Override
    protected void handleNormalizedLoggingCall(
        Level level, Marker marker, String message, Object[] values, Throwable cause) {
      StringBuilder line =
          new StringBuilder(Instant.now().toString())
              .append(' ')
              .append(level)
              .append(' ')
              .append(name)
              .append(' ')
              .append(MessageFormatter.basicArrayFormat(message, values))
              .append('\n');
      for (Throwable each = cause; each != null; each = each.getCause()) {
        line.append("  ").append(each).append('\n');
        for (StackTraceElement at : each.getStackTrace()) {
          line.append("    at ").append(at).append('\n');
        }
      }
      LINES.offer(line.toString());
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
      return own;
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
