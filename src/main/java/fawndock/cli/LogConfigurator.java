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
 * Configures logback to write text or JSON lines to standard error. Lines pass through a bounded
 * queue and are dropped when it is full, so that a stalled reader of standard error does not block
 * an event loop.
 */
final class LogConfigurator {
  private static final int MAX_QUEUED_LINES = 16_384;

  private LogConfigurator() {}

  /**
   * Configures text output of warnings and errors only, for commands that print their own results.
   */
  static void configureForTool() {
    configure(new LogSettings(false, "warn"));
  }

  static void configure(LogSettings log) {
    LoggerContext context = (LoggerContext) LoggerFactory.getILoggerFactory();
    context.reset();
    ConsoleAppender<ILoggingEvent> consoleAppender = new ConsoleAppender<>();
    consoleAppender.setContext(context);
    consoleAppender.setTarget("System.err");
    consoleAppender.setEncoder(
        log.isJson() ? createJsonEncoder(context) : createTextEncoder(context));
    consoleAppender.start();
    AsyncAppender asyncAppender = new AsyncAppender();
    asyncAppender.setContext(context);
    asyncAppender.setQueueSize(MAX_QUEUED_LINES);
    asyncAppender.setDiscardingThreshold(0);
    asyncAppender.setNeverBlock(true);
    asyncAppender.addAppender(consoleAppender);
    asyncAppender.start();
    Logger root = context.getLogger(Logger.ROOT_LOGGER_NAME);
    root.setLevel(Level.WARN);
    root.addAppender(asyncAppender);
    context.getLogger("fawndock").setLevel(Level.toLevel(log.level()));
  }

  /** Writes the queued lines and stops logging. */
  static void flush() {
    ((LoggerContext) LoggerFactory.getILoggerFactory()).stop();
  }

  private static Encoder<ILoggingEvent> createJsonEncoder(LoggerContext context) {
    LogstashEncoder encoder = new LogstashEncoder();
    encoder.setContext(context);
    encoder.setTimeZone(TimeZone.getTimeZone("UTC").getID());
    encoder.start();
    return encoder;
  }

  private static Encoder<ILoggingEvent> createTextEncoder(LoggerContext context) {
    PatternLayoutEncoder encoder = new PatternLayoutEncoder();
    encoder.setContext(context);
    encoder.setPattern("%d{\"yyyy-MM-dd'T'HH:mm:ss.SSS'Z'\", UTC} %-5level %logger{0} %msg%n");
    encoder.start();
    return encoder;
  }
}
