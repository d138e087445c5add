package fawndock.platform;

import fawndock.resp.ReplyWriter;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.function.Consumer;

/**
 * The responses of one client connection in the order of its commands. Each is written once all
 * earlier ones have been and the client reads. Until then its memory counts as held, and a served
 * value may be replaced by an error when the memory is exhausted. Confined to one event loop.
 */
final class ResponseQueue implements ResponseMemory.Queue {
  /** Responses are joined up to this size, so that short ones share a system call. */
  private static final int MAX_JOINED_BYTES = 16 << 10;

  /** Request id of a slot whose command is not a request. */
  private static final long NO_REQUEST = -1;

  private static final ByteBuf REFUSAL =
      Unpooled.unreleasableBuffer(encodeError(PlatformProtocol.ERROR_REJECTED).asReadOnly());

  /** Number of refusals that are joined. */
  private static final int MAX_JOINED_REFUSALS = MAX_JOINED_BYTES / REFUSAL.readableBytes();

  /** The connection that the responses are written to. */
  interface Output {
    /** Returns whether the client reads, so that little of what was written is still buffered. */
    boolean isWritable();

    /** Writes bytes and then calls the listener, whether they were written or the write failed. */
    void write(ByteBuf bytes, Runnable onDone);

    /** Called after a slot has got its response. */
    void onResponse();
  }

  /** The position of one command's response in the connection's response order. */
  final class Slot {
    private ByteBuf response;
    private ClientExchange exchange;
    private long requestId = NO_REQUEST;

    /** Whether the request was counted as queued when it was submitted. */
    private boolean isCountedAsQueued;

    /** Size of the response if it is a value, which counts as held; 0 for any other. */
    private int valueBytes;

    /** Number of refusals that the slot stands for; 0 if it has a response of its own. */
    private long refusalCount;

    /** Sets the exchange of the command, a request that is submitted now. */
    void setExchange(ClientExchange newExchange) {
      exchange = newExchange;
      isCountedAsQueued = isQueued();
      if (isCountedAsQueued) {
        memory.onQueuedRequestStarted();
      }
    }

    /** Returns whether the response has to wait for an earlier one. */
    boolean isQueued() {
      return slots.peek() != this;
    }

    /** Sets the id of the command's request, which may have got its response already. */
    void setRequestId(long id) {
      requestId = id;
    }

    /** Sets a response of a few bytes. */
    void respond(ByteBuf bytes) {
      setResponse(bytes);
      output.onResponse();
    }

    /** Sets the response to an error. */
    void respondError(String error) {
      respond(encodeError(error));
    }

    /** Sets a served value as the response. */
    void respondValue(ByteBuf bytes) {
      setResponse(bytes);
      valueBytes = bytes.readableBytes();
      droppableBytes += valueBytes;
      memory.hold(ResponseQueue.this, valueBytes);
      output.onResponse();
      memory.enforceLimit();
    }

    private void setResponse(ByteBuf bytes) {
      response = bytes;
      releaseRequest();
    }

    private void releaseRequest() {
      if (isCountedAsQueued) {
        memory.onQueuedRequestEnded();
        isCountedAsQueued = false;
      }
      if (exchange != null) {
        releaseExchange.accept(exchange);
        // The exchange holds the command, whose memory counts as released.
        exchange = null;
      }
    }

    private boolean isInFlight() {
      return response == null && requestId != NO_REQUEST;
    }
  }

  private final ResponseMemory memory;
  private final Output output;
  private final Consumer<ClientExchange> releaseExchange;
  private final ArrayDeque<Slot> slots = new ArrayDeque<>(2);
  private long droppableBytes;

  /**
   * Creates an empty queue.
   *
   * @param releaseExchange called with each exchange that has its response or has been abandoned
   */
  ResponseQueue(ResponseMemory memory, Output output, Consumer<ClientExchange> releaseExchange) {
    this.memory = memory;
    this.output = output;
    this.releaseExchange = releaseExchange;
  }

  /** Adds the slot for the response of the next command. */
  Slot addSlot() {
    Slot slot = new Slot();
    slots.add(slot);
    return slot;
  }

  /**
   * Adds the response to a command that is refused without being looked at. Consecutive refusals
   * share a slot, so that any number of them needs no more memory than one.
   */
  void addRefusal() {
    Slot last = slots.peekLast();
    if (last == null || last.refusalCount == 0) {
      last = addSlot();
      last.response = REFUSAL;
    }
    last.refusalCount++;
  }

  /** Returns the number of slots; consecutive refusals count as one. */
  int size() {
    return slots.size();
  }

  boolean isEmpty() {
    return slots.isEmpty();
  }

  /**
   * Writes the responses that wait for no earlier one, as long as the client reads. Returns whether
   * there were any.
   */
  boolean writeReady() {
    boolean hasWritten = false;
    while (output.isWritable() && isHeadReady()) {
      writeNext();
      hasWritten = true;
    }
    return hasWritten;
  }

  /** Writes the responses that wait for no earlier one, even if the client does not read. */
  void writeAllReady() {
    while (isHeadReady()) {
      writeNext();
    }
  }

  private boolean isHeadReady() {
    return !slots.isEmpty() && slots.peek().response != null;
  }

  private void writeNext() {
    if (slots.peek().refusalCount > 0) {
      writeRefusals(slots.peek());
    } else {
      writeResponses();
    }
  }

  private void writeRefusals(Slot slot) {
    int count = (int) Math.min(slot.refusalCount, MAX_JOINED_REFUSALS);
    ByteBuf out = Unpooled.buffer(count * REFUSAL.readableBytes());
    for (int i = 0; i < count; i++) {
      out.writeBytes(REFUSAL, REFUSAL.readerIndex(), REFUSAL.readableBytes());
    }
    slot.refusalCount -= count;
    if (slot.refusalCount == 0) {
      slots.poll();
    }
    output.write(out, () -> {});
  }

  /** Writes the first response, joined with those after it that are ready and short. */
  private void writeResponses() {
    List<ByteBuf> joined = new ArrayList<>(1);
    int joinedBytes = 0;
    int joinedValueBytes = 0;
    do {
      Slot slot = slots.poll();
      joined.add(slot.response);
      joinedBytes += slot.response.readableBytes();
      joinedValueBytes += slot.valueBytes;
    } while (isHeadReady()
        && slots.peek().refusalCount == 0
        && joinedBytes + slots.peek().response.readableBytes() <= MAX_JOINED_BYTES);
    droppableBytes -= joinedValueBytes;
    int writtenValueBytes = joinedValueBytes;
    output.write(join(joined), () -> memory.release(writtenValueBytes));
  }

  private static ByteBuf join(List<ByteBuf> buffers) {
    return buffers.size() == 1
        ? buffers.get(0)
        : Unpooled.wrappedBuffer(buffers.toArray(new ByteBuf[0]));
  }

  @Override
  public long droppableBytes() {
    return droppableBytes;
  }

  @Override
  public void dropLast() {
    for (Iterator<Slot> newestFirst = slots.descendingIterator(); newestFirst.hasNext(); ) {
      Slot slot = newestFirst.next();
      if (slot.valueBytes > 0) {
        droppableBytes -= slot.valueBytes;
        memory.release(slot.valueBytes);
        slot.valueBytes = 0;
        slot.response = encodeError(PlatformProtocol.ERROR_FAILED);
        return;
      }
    }
  }

  /**
   * Responds with an error to all requests in flight.
   *
   * @param beforeEach called with the id of each request before it gets its response
   */
  void failRequestsInFlight(String error, Consumer<Long> beforeEach) {
    for (Slot slot : List.copyOf(slots)) {
      if (slot.isInFlight()) {
        beforeEach.accept(slot.requestId);
        slot.respondError(error);
      }
    }
  }

  /**
   * Removes all responses, because the connection is closed.
   *
   * @param onAbandoned called with the id of each request that was in flight
   */
  void clear(Consumer<Long> onAbandoned) {
    List<Slot> removed = List.copyOf(slots);
    slots.clear();
    memory.remove(this);
    droppableBytes = 0;
    for (Slot slot : removed) {
      memory.release(slot.valueBytes);
      if (slot.isInFlight()) {
        slot.exchange.abandon();
        slot.releaseRequest();
        onAbandoned.accept(slot.requestId);
      }
    }
  }

  private static ByteBuf encodeError(String error) {
    ByteBuf out = Unpooled.buffer(error.length() + 4);
    new ReplyWriter(out).error(error);
    return out;
  }
}
