package fawndock.cli;

import ch.qos.logback.classic.AsyncAppender;
import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.encoder.PatternLayoutEncoder;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.ConsoleAppender;
import ch.qos.logback.core.encoder.Encoder;
import fawndock.settings.LogSettings;
import java.util.TimeZone;
import net.logstash.logback.encoder.LogstashEncoder;
import org.slf4j.LoggerFactory;

/**
 * Configures the log on standard error, as text or JSON lines. Lines pass through a bounded queue
 * and are dropped when it is full, so that a reader who stops does not block an event loop.
 */
final class LogConfigurator {
  private static final int QUEUE_LINES = 16_384;

  private LogConfigurator() {}

  /** Warnings and errors as text, for tools that print their own results. */
  static void configureForTool() {
    configure(new LogSettings(false, "warn"));
  }

  static void configure(LogSettings log) {
    LoggerContext context = (LoggerContext) LoggerFactory.getILoggerFactory();
    context.reset();
    ConsoleAppender<ILoggingEvent> console = new ConsoleAppender<>();
    console.setContext(context);
    console.setTarget("System.err");
    console.setEncoder(log.isJson() ? json(context) : text(context));
    console.start();
    AsyncAppender queue = new AsyncAppender();
    queue.setContext(context);
    queue.setQueueSize(QUEUE_LINES);
    queue.setDiscardingThreshold(0);
    queue.setNeverBlock(true);
    queue.addAppender(console);
    queue.start();
    Logger root = context.getLogger(Logger.ROOT_LOGGER_NAME);
    root.setLevel(Level.WARN);
    root.addAppender(queue);
    context.getLogger("fawndock").setLevel(Level.toLevel(log.level()));
  }

  /** Writes out what is still queued. */
  static void flush() {
    ((LoggerContext) LoggerFactory.getILoggerFactory()).stop();
  }

  private static Encoder<ILoggingEvent> json(LoggerContext context) {
    LogstashEncoder encoder = new LogstashEncoder();
    encoder.setContext(context);
    encoder.setTimeZone(TimeZone.getTimeZone("UTC").getID());
    encoder.start();
    return encoder;
  }

  private static Encoder<ILoggingEvent> text(LoggerContext context) {
    PatternLayoutEncoder encoder = new PatternLayoutEncoder();
    encoder.setContext(context);
    encoder.setPattern("%d{\"yyyy-MM-dd'T'HH:mm:ss.SSS'Z'\", UTC} %-5level %logger{0} %msg%n");
    encoder.start();
    return encoder;
  }
}
