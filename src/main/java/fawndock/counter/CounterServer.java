package fawndock.counter;

import fawndock.counter.config.CounterSettings;
import fawndock.counter.storage.CounterOperations;
import fawndock.counter.storage.CounterTable;
import fawndock.counter.storage.GroupCommit;
import fawndock.counter.storage.Recovery;
import fawndock.counter.storage.Storage;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.util.concurrent.EventExecutor;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.List;
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
 * The running counter service: recovers the counts, listens, and stops. One event loop owns
 * connections and counts; {@link #start} and {@link #close} are called from outside it.
 * Specification: docs/design/counter.md.
 */
public final class CounterServer implements AutoCloseable {
  private static final Logger LOG = LoggerFactory.getLogger(CounterServer.class);
  private static final long STOP_TIMEOUT_MILLIS = 5_000;
  private static final long FIRST_SEGMENT_TIMEOUT_SECONDS = 600;
  private static final long SWEEP_INTERVAL_MILLIS = 100;
  private static final long STALL_CHECK_INTERVAL_MILLIS = 500;
  private static final int ACCEPT_BACKLOG = 1_024;
  private static final byte[] TOO_MANY_CLIENTS =
      "-ERR max number of clients reached\r\n".getBytes(StandardCharsets.US_ASCII);

  private final CounterSettings settings;
  private final Storage storage;
  private final EventLoopGroup eventLoopGroup =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final EventExecutor loop = eventLoopGroup.next();
  private final GroupCommit groupCommit;
  private final ServerStats stats = new ServerStats();
  private final CommandTable commands = new CommandTable();
  private final Set<ClientConnection> connections = new HashSet<>();

  /** The connections' channels; a closed one leaves by itself. */
  private final ChannelGroup channels = new DefaultChannelGroup(loop);

  private WriteAheadLogThread log;
  private SnapshotTask snapshots;
  private CommitScheduler scheduler;
  private LogSupervisor supervisor;
  private CommandExecutor executor;
  private ClusterNode cluster;
  private Channel listener;
  private long nextConnectionId = 1;
  private boolean isClosed;

  /**
   * @param storage where log and snapshots are; nobody else uses it
   */
  public CounterServer(CounterSettings settings, Storage storage) {
    this.settings = settings;
    this.storage = storage;
    groupCommit = new GroupCommit(settings.durability(), settings.syncIntervalMillis());
  }

  /**
   * Recovers and listens; returns the port. Changes are rejected until the log can be written.
   *
   * @param progress is called with the bytes recovered so far
   * @throws IOException also when the log is damaged; nothing was changed in the storage then
   */
  public int start(LongConsumer progress) throws IOException {
    CounterTable table = new CounterTable(ThreadLocalRandom.current().nextLong());
    Recovery.Result recovered = recover(table, progress);
    assemble(table, recovered);
    CompletableFuture<Void> firstAttempt = supervisor.start(recovered.lastSequence());
    awaitFirstLog(firstAttempt);
    listen();
    scheduleRepeated();
    return ((InetSocketAddress) listener.localAddress()).getPort();
  }

  private Recovery.Result recover(CounterTable table, LongConsumer progress) throws IOException {
    long startedNanos = System.nanoTime();
    Recovery.Result recovered = Recovery.recover(storage, table, progress);
    recovered.warnings().forEach(LOG::warn);
    LOG.info(
        "recovered {} names from {} bytes, up to record {}, in {} ms",
        table.size(),
        recovered.bytesRead(),
        recovered.lastSequence(),
        (System.nanoTime() - startedNanos) / 1_000_000);
    return recovered;
  }

  private void assemble(CounterTable table, Recovery.Result recovered) {
    CounterOperations operations = new CounterOperations(table, settings.maxMemoryBytes());
    ServerClock clock = new ServerClock(recovered.latestTimeMillis());
    log = new WriteAheadLogThread(storage, loop);
    snapshots = new SnapshotTask(storage, loop, table, clock);
    scheduler = new CommitScheduler(groupCommit, log, clock, loop);
    supervisor =
        new LogSupervisor(
            settings.snapshotAfterLogBytes(), loop, groupCommit, scheduler, log, snapshots, table);
    log.listen(supervisor);
    executor = new CommandExecutor(operations, groupCommit, scheduler, commands, clock, stats);
    cluster = new ClusterNode(settings, operations, clock, eventLoopGroup);
    ServerInfo info = new ServerInfo(stats, groupCommit, scheduler, table, settings.durability());
    commands.addAll(AmountCommands.all());
    commands.addAll(NameCommands.all());
    commands.addAll(new ConnectionCommands(commands, info, settings.password()).all());
    commands.addAll(TRANSACTION_COMMANDS);
    commands.addAll(new ClusterCommands(cluster).all());
  }

  /** Done by the {@link CommandExecutor} itself. */
  private static final List<Command> TRANSACTION_COMMANDS =
      List.of(
          new Command("MULTI", 1, false, 0, 0, null),
          new Command("EXEC", 1, false, 0, 0, null),
          new Command("DISCARD", 1, false, 0, 0, null));

  private static void awaitFirstLog(CompletableFuture<Void> firstAttempt) throws IOException {
    try {
      firstAttempt.get(FIRST_SEGMENT_TIMEOUT_SECONDS, TimeUnit.SECONDS);
    } catch (ExecutionException | TimeoutException e) {
      throw new IOException("the log could not be begun: " + e.getMessage(), e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IOException("interrupted", e);
    }
  }

  private void listen() throws IOException {
    WriteBufferWaterMark waterMark =
        new WriteBufferWaterMark(
            ClientConnection.MAX_PENDING_REPLY_BYTES / 2, ClientConnection.MAX_PENDING_REPLY_BYTES);
    ServerBootstrap bootstrap =
        new ServerBootstrap()
            .group(eventLoopGroup)
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childOption(ChannelOption.SO_KEEPALIVE, true)
            .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, waterMark)
            .childHandler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(Channel channel) {
                    accept(channel);
                  }
                });
    try {
      listener =
          bootstrap.bind(settings.listen().host(), settings.listen().port()).sync().channel();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IOException("interrupted", e);
    } catch (Exception e) { // Netty throws what bind threw, undeclared.
      throw new IOException("cannot listen on " + settings.listen() + ": " + e.getMessage(), e);
    }
  }

  private void scheduleRepeated() {
    repeat(scheduler::commitNow, Math.max(1, settings.syncIntervalMillis()));
    repeat(cluster::tick, ClusterNode.TICK_MILLIS);
    repeat(executor::sweepExpired, SWEEP_INTERVAL_MILLIS);
    repeat(this::closeStalledConnections, STALL_CHECK_INTERVAL_MILLIS);
  }

  private void repeat(Runnable task, long intervalMillis) {
    // Runs until the loop ends; nothing cancels it.
    var unused =
        loop.scheduleAtFixedRate(task, intervalMillis, intervalMillis, TimeUnit.MILLISECONDS);
  }

  private void accept(Channel channel) {
    if (connections.size() >= settings.maxConnections()) {
      // The listener closes it, whether the error could be sent or not.
      var unused =
          channel
              .writeAndFlush(channel.alloc().buffer().writeBytes(TOO_MANY_CLIENTS))
              .addListener(ChannelFutureListener.CLOSE);
      return;
    }
    ClientConnection connection =
        new ClientConnection(
            executor, scheduler, nextConnectionId++, settings.password().isEmpty());
    channels.add(channel);
    connections.add(connection);
    stats.connections = connections.size();
    // The listener is all that is wanted of the future.
    var unused =
        channel
            .closeFuture()
            .addListener(
                closed -> {
                  connections.remove(connection);
                  stats.connections = connections.size();
                });
    channel.pipeline().addLast(connection);
  }

  private void closeStalledConnections() {
    long nowNanos = System.nanoTime();
    long limitNanos = settings.stalledClientTimeoutMillis() * 1_000_000;
    Set.copyOf(connections).forEach(each -> each.closeIfStalled(nowNanos, limitNanos));
  }

  /**
   * Accepts no more calls, commits what was accepted, and closes; waits some seconds at most. May
   * be called again, and when {@link #start} has failed.
   */
  @Override
  public void close() {
    if (isClosed) {
      return;
    }
    isClosed = true;
    try {
      if (listener != null) {
        listener.close().sync();
        drain();
        closeConnections();
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } catch (ExecutionException | TimeoutException e) {
      LOG.warn("stopped before all was committed");
    }
    if (log != null) {
      snapshots.close();
      log.close(STOP_TIMEOUT_MILLIS);
    }
    eventLoopGroup
        .shutdownGracefully(0, 1, TimeUnit.SECONDS)
        .awaitUninterruptibly(STOP_TIMEOUT_MILLIS);
  }

  private void drain() throws InterruptedException, ExecutionException, TimeoutException {
    long deadlineNanos = System.nanoTime() + STOP_TIMEOUT_MILLIS * 1_000_000;
    CompletableFuture<Void> idle = new CompletableFuture<>();
    loop.execute(
        () -> {
          supervisor.stop();
          connections.forEach(ClientConnection::closeAfterReplies);
          completeWhenIdle(idle, deadlineNanos);
        });
    idle.get(STOP_TIMEOUT_MILLIS + 1_000, TimeUnit.MILLISECONDS);
  }

  /**
   * Closes the connections that are left while the loop still runs: a handler whose channel is
   * closed by the loop's end may not be told, and keeps its buffers.
   */
  private void closeConnections() throws InterruptedException {
    channels.close().await(STOP_TIMEOUT_MILLIS);
    // The handlers are told by tasks of the loop: those are done when this one is.
    loop.submit(() -> {}).await(STOP_TIMEOUT_MILLIS);
  }

  private void completeWhenIdle(CompletableFuture<Void> idle, long deadlineNanos) {
    if (groupCommit.isIdle() || System.nanoTime() - deadlineNanos >= 0) {
      idle.complete(null);
      return;
    }
    scheduler.commitNow();
    // The task runs, or the wait for it ends by its time limit.
    var unused =
        loop.schedule(() -> completeWhenIdle(idle, deadlineNanos), 1, TimeUnit.MILLISECONDS);
  }
}
