package fawndock.counter;

import fawndock.counter.storage.CounterOperations;
import fawndock.counter.storage.CounterTable;
import fawndock.counter.storage.GroupCommit;
import fawndock.counter.storage.GroupCommit.LogWork;
import fawndock.counter.storage.MonotonicWallClock;
import fawndock.counter.storage.Recovery;
import fawndock.counter.storage.Storage;
import fawndock.settings.CounterSettings;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.util.concurrent.EventExecutor;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.LongConsumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The running counter service: recovery, the listening socket, the log, snapshots and the way back
 * from a bad disk.
 */
public final class CounterServer implements WriteAheadLogThread.Listener {
  private static final Logger LOG = LoggerFactory.getLogger(CounterServer.class);
  private static final long STOP_MILLIS = 5_000;
  private static final long START_SECONDS = 600;
  private static final long ANEW_MILLIS = 1_000;
  private static final long SNAPSHOT_PAUSE_NANOS = 10_000_000_000L;
  private static final int BACKLOG = 1_024;
  private final CounterSettings settings;
  private final Storage disk;
  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final EventExecutor loop = group.next();
  private final GroupCommit commit;
  private final Set<ClientConnection> sessions = new HashSet<>();
  private final CompletableFuture<Void> tried = new CompletableFuture<>();
  private CommandExecutor engine;
  private WriteAheadLogThread log;
  private SnapshotTask snapshots;
  private Fleet fleet;
  private Channel listener;
  private long nextId = 1;
  private long appendedGroup;
  private long snapshotNotBefore = System.nanoTime();
  private boolean stalled;
  private boolean stopping;

  /**
   * @param disk where log and snapshots are; nobody else uses it
   */
  public CounterServer(CounterSettings settings, Storage disk) {
    this.settings = settings;
    this.disk = disk;
    commit = new GroupCommit(settings.durability(), settings.intervalMillis());
  }

  /**
   * Recovers and listens; returns the port. Answers before the log could be written refuse changes.
   *
   * @param progress is told the bytes recovered so far
   * @throws IOException also when the log is damaged; nothing was changed on the disk then
   */
  public int start(LongConsumer progress) throws IOException {
    CounterTable table = new CounterTable(ThreadLocalRandom.current().nextLong());
    long begun = System.nanoTime();
    Recovery.Result found = Recovery.recover(disk, table, progress);
    found.warnings().forEach(LOG::warn);
    LOG.info(
        "recovered {} names from {} bytes, up to record {}, in {} ms",
        table.size(),
        found.bytesRead(),
        found.lastSequence(),
        (System.nanoTime() - begun) / 1_000_000);
    MonotonicWallClock time =
        new MonotonicWallClock(
            found.latestTimeMillis(), System.currentTimeMillis(), System.nanoTime());
    engine =
        new CommandExecutor(
            new CounterOperations(table, settings.maxMemory()),
            commit,
            time,
            loop,
            settings.password());
    engine.durability = settings.durability().name().toLowerCase(java.util.Locale.ROOT);
    log = new WriteAheadLogThread(disk, loop, this);
    engine.log(log);
    snapshots = new SnapshotTask(disk, loop, engine);
    fleet = new Fleet(settings, engine, group);
    engine.add(fleet.commands());
    loop.execute(() -> anew(null, found.lastSequence()));
    try {
      tried.get(START_SECONDS, TimeUnit.SECONDS);
      listener =
          new ServerBootstrap()
              .group(group)
              .channel(NioServerSocketChannel.class)
              .option(ChannelOption.SO_BACKLOG, BACKLOG)
              .option(ChannelOption.SO_REUSEADDR, true)
              .childOption(ChannelOption.TCP_NODELAY, true)
              .childOption(ChannelOption.SO_KEEPALIVE, true)
              .childOption(
                  ChannelOption.WRITE_BUFFER_WATER_MARK,
                  new WriteBufferWaterMark(
                      ClientConnection.MAX_PENDING_REPLY_BYTES / 2,
                      ClientConnection.MAX_PENDING_REPLY_BYTES))
              .childHandler(
                  new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                      accept(channel);
                    }
                  })
              .bind(settings.listen().host(), settings.listen().port())
              .sync()
              .channel();
    } catch (ExecutionException | TimeoutException e) {
      throw new IOException("the log could not be begun: " + e.getMessage(), e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IOException("interrupted", e);
    } catch (Exception e) { // Netty throws what bind threw, undeclared.
      throw new IOException("cannot listen on " + settings.listen() + ": " + e.getMessage(), e);
    }
    long every = Math.max(1, settings.intervalMillis());
    loop.scheduleAtFixedRate(engine::pump, every, every, TimeUnit.MILLISECONDS);
    loop.scheduleAtFixedRate(
        fleet::tick, Fleet.TICK_MILLIS, Fleet.TICK_MILLIS, TimeUnit.MILLISECONDS);
    loop.scheduleAtFixedRate(engine::sweep, 100, 100, TimeUnit.MILLISECONDS);
    loop.scheduleAtFixedRate(this::checkSessions, 500, 500, TimeUnit.MILLISECONDS);
    return ((InetSocketAddress) listener.localAddress()).getPort();
  }

  private void accept(Channel channel) {
    if (sessions.size() >= settings.maxConnections()) {
      channel
          .writeAndFlush(
              channel
                  .alloc()
                  .buffer()
                  .writeBytes(
                      "-ERR max number of clients reached\r\n".getBytes(StandardCharsets.US_ASCII)))
          .addListener(ChannelFutureListener.CLOSE);
      return;
    }
    ClientConnection session = new ClientConnection(engine, nextId++);
    sessions.add(session);
    engine.sessions = sessions.size();
    channel
        .closeFuture()
        .addListener(
            closed -> {
              sessions.remove(session);
              engine.sessions = sessions.size();
            });
    channel.pipeline().addLast(session);
  }

  private void checkSessions() {
    long now = System.nanoTime();
    Set.copyOf(sessions).forEach(s -> s.closeIfStalled(now, settings.stallMillis() * 1_000_000));
  }

  @Override
  public void onWorkDone(LogWork work, long appended) {
    if (stalled) {
      stalled = false;
      LOG.info("the log is written again");
    }
    commit.onWorkDone(work.groupNumber());
    appendedGroup = work.groupNumber();
    engine.release(work.groupNumber());
    engine.pump();
    // Not more often than the log outgrows the last one: writing them would take more of the disk
    // than the log.
    if (appended >= Math.max(settings.snapshotAfter(), snapshots.lastSize())
        && !snapshots.active()
        && System.nanoTime() - snapshotNotBefore >= 0
        && !stopping) {
      snapshot();
    }
  }

  private void snapshot() {
    // Not again at once when it fails, such as for want of room.
    snapshotNotBefore = System.nanoTime() + SNAPSHOT_PAUSE_NANOS;
    log.roll(
        covered -> {
          if (covered < 0 || snapshots.active() || commit.rejection() != null) {
            return;
          }
          long begun = System.nanoTime();
          snapshots.begin(
              covered,
              this::settle,
              failure -> {
                if (failure == null) {
                  snapshotNotBefore = System.nanoTime();
                  LOG.info(
                      "snapshot of {} names up to record {} in {} ms",
                      engine.counts().table().size(),
                      covered,
                      (System.nanoTime() - begun) / 1_000_000);
                } else {
                  LOG.warn("no snapshot: {}", failure.getMessage());
                }
              });
        });
  }

  /** Goes on when every change made so far is durable in the log. */
  private void settle(Runnable then) {
    long last = commit.pendingBytes() > 0 ? commit.openGroup() : commit.openGroup() - 1;
    settle(last, then);
  }

  private void settle(long last, Runnable then) {
    if (appendedGroup >= last) {
      log.syncThen(then);
    } else {
      loop.schedule(() -> settle(last, then), 2, TimeUnit.MILLISECONDS);
    }
  }

  @Override
  public void onStalled(String why) {
    if (!stalled) {
      stalled = true;
      LOG.error("the log cannot be written: {}; changes are refused until it can", why);
    }
    commit.onStalled(why);
  }

  @Override
  public void onSegmentAbandoned(LogWork work, long sequence, String why) {
    LOG.error(
        "a sync of the log failed: {}; its file is given up, changes are refused until a new one is begun",
        why);
    engine.openGroup();
    commit.onStalled(why);
    snapshots.abandon();
    anew(work, sequence);
  }

  /**
   * All that is in memory into a snapshot, and a new segment after it; tried until it can be done.
   */
  private void anew(LogWork work, long sequence) {
    if (stopping) {
      return;
    }
    snapshots.begin(
        sequence,
        Runnable::run,
        failure -> {
          if (failure != null) {
            againLater(work, sequence, failure);
            return;
          }
          log.startNewSegment(
              sequence,
              unready -> {
                if (unready != null) {
                  againLater(work, sequence, unready);
                  return;
                }
                stalled = false;
                commit.onResumed();
                tried.complete(null);
                if (work != null) {
                  LOG.info("a new segment is begun after record {}", sequence);
                  appendedGroup = work.groupNumber();
                  engine.release(work.groupNumber());
                }
                engine.pump();
              });
        });
  }

  private void againLater(LogWork work, long sequence, IOException failure) {
    if (!stalled) {
      LOG.error(
          "no new segment could be begun: {}; changes are refused until it can",
          failure.getMessage());
    }
    stalled = true;
    commit.onStalled(String.valueOf(failure.getMessage()));
    tried.complete(null);
    loop.schedule(() -> anew(work, sequence), ANEW_MILLIS, TimeUnit.MILLISECONDS);
  }

  /** Stops taking calls, commits what was taken, and closes; waits some seconds at most. */
  public void stop() {
    try {
      if (listener != null) {
        listener.close().sync();
        long limit = System.nanoTime() + STOP_MILLIS * 1_000_000;
        CompletableFuture<Void> idle = new CompletableFuture<>();
        loop.execute(
            () -> {
              stopping = true;
              sessions.forEach(ClientConnection::closeAfterReplies);
              awaitIdle(idle, limit);
            });
        idle.get(STOP_MILLIS + 1_000, TimeUnit.MILLISECONDS);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } catch (ExecutionException | TimeoutException e) {
      LOG.warn("stopped before all was committed");
    }
    if (log != null) {
      snapshots.close();
      log.close(STOP_MILLIS);
    }
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly(STOP_MILLIS);
  }

  private void awaitIdle(CompletableFuture<Void> idle, long limit) {
    if (commit.isIdle() || System.nanoTime() - limit >= 0) {
      idle.complete(null);
      return;
    }
    engine.pump();
    loop.schedule(() -> awaitIdle(idle, limit), 1, TimeUnit.MILLISECONDS);
  }
}
