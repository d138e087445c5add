package fawndock.counter;

import fawndock.counter.config.CounterSettings;
import fawndock.counter.storage.CounterOperations;
import fawndock.counter.storage.CounterTable;
import fawndock.counter.storage.GroupCommit;
import fawndock.counter.storage.Recovery;
import fawndock.counter.storage.Storage;
import fawndock.memory.PartialMessageMemory;
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
 * The counter server: recovers the counters from storage, serves clients and shuts down. One event
 * loop owns the connections and the counters; {@link #start} and {@link #close} must be called from
 * other threads. Specification: docs/design/counter.md.
 */
public final class CounterServer implements AutoCloseable {
  private static final Logger LOG = LoggerFactory.getLogger(CounterServer.class);
  private static final long STOP_TIMEOUT_MILLIS = 5_000;
  private static final long FIRST_SEGMENT_TIMEOUT_SECONDS = 600;
  private static final long SWEEP_INTERVAL_MILLIS = 100;
  private static final long STALL_CHECK_INTERVAL_MILLIS = 500;
  private static final int ACCEPT_BACKLOG = 1_024;

  /**
   * Commands that are not whole, and transactions that are not closed, may hold the memory limit
   * for names divided by this.
   */
  private static final long INPUT_MEMORY_DIVISOR = 8;

  /** The same at least, so that some commands of the greatest length fit. */
  private static final long MIN_INPUT_BYTES = 4 << 20;

  private static final byte[] TOO_MANY_CLIENTS_ERROR =
      "-ERR max number of clients reached\r\n".getBytes(StandardCharsets.US_ASCII);

  private final CounterSettings settings;
  private final Storage storage;
  private final EventLoopGroup eventLoopGroup =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final EventExecutor eventLoop = eventLoopGroup.next();
  private final GroupCommit groupCommit;
  private final ServerStats stats = new ServerStats();
  private final CommandTable commands = new CommandTable();
  private final Set<ClientConnection> connections = new HashSet<>();

  /** The channels of the connections. A closed channel is removed automatically. */
  private final ChannelGroup channels = new DefaultChannelGroup(eventLoop);

  /** Commands that are not whole, and transactions that are not closed. */
  private final PartialMessageMemory inputMemory;

  private WriteAheadLogThread logThread;
  private SnapshotTask snapshotTask;
  private CommitScheduler commitScheduler;
  private LogSupervisor logSupervisor;
  private CommandExecutor commandExecutor;
  private ClusterNode clusterNode;
  private Channel serverChannel;
  private long nextConnectionId = 1;
  private boolean isClosed;

  /**
   * @param storage the storage of log and snapshots, for the exclusive use of this server
   */
  public CounterServer(CounterSettings settings, Storage storage) {
    this.settings = settings;
    this.storage = storage;
    groupCommit = new GroupCommit(settings.durability(), settings.syncIntervalMillis());
    inputMemory =
        new PartialMessageMemory(
            Math.max(MIN_INPUT_BYTES, settings.maxMemoryBytes() / INPUT_MEMORY_DIVISOR),
            () -> System.nanoTime() / 1_000);
  }

  /**
   * Recovers the counters, starts listening and returns the port. Changes are rejected until the
   * log can be written.
   *
   * @param progress receives the number of bytes recovered so far
   * @throws IOException also if the log is damaged, in which case the storage is left unchanged
   */
  public int start(LongConsumer progress) throws IOException {
    CounterTable table = new CounterTable(ThreadLocalRandom.current().nextLong());
    Recovery.Result recovered = recover(table, progress);
    createComponents(table, recovered);
    CompletableFuture<Void> firstLogAttempt = logSupervisor.start(recovered.lastSequence());
    awaitFirstLogAttempt(firstLogAttempt);
    listen();
    schedulePeriodicTasks();
    return ((InetSocketAddress) serverChannel.localAddress()).getPort();
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

  private void createComponents(CounterTable table, Recovery.Result recovered) {
    CounterOperations operations = new CounterOperations(table, settings.maxMemoryBytes());
    ServerClock clock = new ServerClock(recovered.latestTimeMillis());
    logThread = new WriteAheadLogThread(storage, eventLoop);
    snapshotTask = new SnapshotTask(storage, eventLoop, table, clock);
    commitScheduler = new CommitScheduler(groupCommit, logThread, clock, eventLoop);
    logSupervisor =
        new LogSupervisor(
            settings.snapshotAfterLogBytes(),
            eventLoop,
            groupCommit,
            commitScheduler,
            logThread,
            snapshotTask,
            table);
    logThread.setListener(logSupervisor);
    commandExecutor =
        new CommandExecutor(operations, groupCommit, commitScheduler, commands, clock, stats);
    clusterNode = new ClusterNode(settings, operations, clock, eventLoopGroup);
    ServerInfo serverInfo =
        new ServerInfo(stats, groupCommit, commitScheduler, table, settings.durability());
    commands.addAll(AmountCommands.all());
    commands.addAll(NameCommands.all());
    commands.addAll(new ConnectionCommands(commands, serverInfo, settings.password()).all());
    commands.addAll(TRANSACTION_COMMANDS);
    commands.addAll(new ClusterCommands(clusterNode).all());
  }

  /** The commands that {@link CommandExecutor} implements itself. */
  private static final List<Command> TRANSACTION_COMMANDS =
      List.of(
          new Command("MULTI", 1, false, 0, 0, null),
          new Command("EXEC", 1, false, 0, 0, null),
          new Command("DISCARD", 1, false, 0, 0, null));

  private static void awaitFirstLogAttempt(CompletableFuture<Void> firstLogAttempt)
      throws IOException {
    try {
      firstLogAttempt.get(FIRST_SEGMENT_TIMEOUT_SECONDS, TimeUnit.SECONDS);
    } catch (ExecutionException | TimeoutException e) {
      throw new IOException("cannot start the write-ahead log: " + e.getMessage(), e);
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
      serverChannel =
          bootstrap.bind(settings.listen().host(), settings.listen().port()).sync().channel();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IOException("interrupted", e);
    } catch (Exception e) { // Netty rethrows bind's checked exceptions undeclared.
      throw new IOException("cannot listen on " + settings.listen() + ": " + e.getMessage(), e);
    }
  }

  private void schedulePeriodicTasks() {
    schedulePeriodically(commitScheduler::commitNow, Math.max(1, settings.syncIntervalMillis()));
    schedulePeriodically(clusterNode::tick, ClusterNode.TICK_MILLIS);
    schedulePeriodically(commandExecutor::sweepExpired, SWEEP_INTERVAL_MILLIS);
    schedulePeriodically(this::closeStalledConnections, STALL_CHECK_INTERVAL_MILLIS);
  }

  private void schedulePeriodically(Runnable task, long intervalMillis) {
    // The task repeats until the event loop ends and is never cancelled.
    var unused =
        eventLoop.scheduleAtFixedRate(task, intervalMillis, intervalMillis, TimeUnit.MILLISECONDS);
  }

  private void accept(Channel channel) {
    if (connections.size() >= settings.maxConnections()) {
      // The listener closes the channel whether the write succeeds or fails.
      var unused =
          channel
              .writeAndFlush(channel.alloc().buffer().writeBytes(TOO_MANY_CLIENTS_ERROR))
              .addListener(ChannelFutureListener.CLOSE);
      return;
    }
    ClientConnection connection =
        new ClientConnection(
            commandExecutor,
            commitScheduler,
            inputMemory,
            nextConnectionId++,
            settings.password().isEmpty());
    channels.add(channel);
    connections.add(connection);
    stats.connections = connections.size();
    // The returned future is not needed.
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
   * Stops accepting commands, commits the accepted changes, and closes the connections and the log.
   * The waits for the commits, the connections and the log have timeouts of a few seconds. The
   * method is idempotent and may be called after {@link #start} has failed.
   */
  @Override
  public void close() {
    if (isClosed) {
      return;
    }
    isClosed = true;
    try {
      if (serverChannel != null) {
        serverChannel.close().sync();
        drain();
        closeConnections();
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } catch (ExecutionException | TimeoutException e) {
      LOG.warn("stopped before all changes were committed");
    }
    if (logThread != null) {
      snapshotTask.close();
      logThread.close(STOP_TIMEOUT_MILLIS);
    }
    eventLoopGroup
        .shutdownGracefully(0, 1, TimeUnit.SECONDS)
        .awaitUninterruptibly(STOP_TIMEOUT_MILLIS);
  }

  private void drain() throws InterruptedException, ExecutionException, TimeoutException {
    long deadlineNanos = System.nanoTime() + STOP_TIMEOUT_MILLIS * 1_000_000;
    CompletableFuture<Void> idle = new CompletableFuture<>();
    eventLoop.execute(
        () -> {
          logSupervisor.stop();
          connections.forEach(ClientConnection::closeAfterReplies);
          completeWhenIdle(idle, deadlineNanos);
        });
    idle.get(STOP_TIMEOUT_MILLIS + 1_000, TimeUnit.MILLISECONDS);
  }

  /**
   * Closes the remaining connections while the event loop still runs. If the end of the event loop
   * closes a channel, its handler may not be notified, and then does not release its buffers.
   */
  private void closeConnections() throws InterruptedException {
    channels.close().await(STOP_TIMEOUT_MILLIS);
    // Event-loop tasks notify the handlers; they are complete when this later task is.
    eventLoop.submit(() -> {}).await(STOP_TIMEOUT_MILLIS);
  }

  private void completeWhenIdle(CompletableFuture<Void> idle, long deadlineNanos) {
    if (groupCommit.isIdle() || System.nanoTime() - deadlineNanos >= 0) {
      idle.complete(null);
      return;
    }
    commitScheduler.commitNow();
    // Either the task runs, or the wait for it times out.
    var unused =
        eventLoop.schedule(() -> completeWhenIdle(idle, deadlineNanos), 1, TimeUnit.MILLISECONDS);
  }
}
