package fawndock.gateway;

import fawndock.policy.action.SendPeerMessage;
import fawndock.policy.event.PeerMessageReceived;
import fawndock.runtime.MicroClock;
import fawndock.settings.Address;
import fawndock.settings.GatewaySettings.Peers;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.datagram.DatagramSocket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Messages among the fleet's instances: a UDP datagram {@code fd1 TO FROM TEXT} of at most 256
 * bytes in all. Nothing is sent again; what is too long to send, comes from elsewhere, is for
 * another instance or comes too fast is dropped. One context.
 */
final class PeerMessenger implements AutoCloseable {
  static final int MAX_DATAGRAM_BYTES = 256;
  private static final String MAGIC = "fd1";
  private static final Logger LOG = LoggerFactory.getLogger(PeerMessenger.class);
  private final Peers peers;
  private final int instanceIndex;
  private final MicroClock clock;
  private final Consumer<PeerMessageReceived> listener;
  private final DatagramSocket socket;

  /** Messages that may be received now: a token bucket of one second's messages. */
  private double receiveTokens;

  private long refilledAtMicros;
  private boolean isListening;

  /** Makes a messenger that {@link #start} starts. */
  PeerMessenger(
      Vertx vertx,
      Peers peers,
      int instanceIndex,
      MicroClock clock,
      Consumer<PeerMessageReceived> listener) {
    this.peers = peers;
    this.instanceIndex = instanceIndex;
    this.clock = clock;
    this.listener = listener;
    this.receiveTokens = peers.maxMessagesPerSecond();
    this.socket = vertx.createDatagramSocket();
  }

  /** Listens; completes with the port. */
  Future<Integer> start() {
    return socket
        .listen(peers.listen().port(), peers.listen().host())
        .map(
            bound -> {
              isListening = true;
              socket.handler(packet -> onDatagram(packet.data()));
              socket.exceptionHandler(
                  e -> LOG.warn("peer datagram failed: reason=\"{}\"", e.getMessage()));
              return bound.localAddress().port();
            });
  }

  /** Sends to one instance, or to all others when the index is negative. */
  void send(SendPeerMessage message) {
    for (Map.Entry<Integer, Address> peer : peers.addresses().entrySet()) {
      int to = peer.getKey();
      boolean isAddressed = message.toInstance() < 0 || message.toInstance() == to;
      if (to == instanceIndex || !isAddressed) {
        continue;
      }
      Buffer datagram = encode(to, instanceIndex, message.text());
      if (datagram.length() <= MAX_DATAGRAM_BYTES && isListening) {
        var unused =
            socket.send(
                datagram,
                peer.getValue().port(),
                peer.getValue().host()); // Lost messages are not sent again.
      } else {
        LOG.debug("peer message not sent: bytes={}", datagram.length());
      }
    }
  }

  static Buffer encode(int to, int from, String text) {
    return Buffer.buffer(MAGIC + " " + to + " " + from + " " + text, StandardCharsets.UTF_8.name());
  }

  private void onDatagram(Buffer data) {
    long nowMicros = clock.nowMicros();
    double refilled =
        receiveTokens + (nowMicros - refilledAtMicros) / 1e6 * peers.maxMessagesPerSecond();
    receiveTokens = Math.min(peers.maxMessagesPerSecond(), refilled);
    refilledAtMicros = nowMicros;
    String[] words =
        data.length() > MAX_DATAGRAM_BYTES ? new String[0] : data.toString().split(" ", 4);
    boolean isForThis =
        words.length == 4
            && words[0].equals(MAGIC)
            && words[1].equals(Integer.toString(instanceIndex))
            && words[2].matches("[0-9]{1,4}")
            && peers.addresses().containsKey(Integer.parseInt(words[2]));
    if (isForThis && receiveTokens >= 1) {
      receiveTokens--;
      listener.accept(new PeerMessageReceived(Integer.parseInt(words[2]), words[3]));
    }
  }

  /** Closes the socket; closing it again has no effect. */
  @Override
  public void close() {
    isListening = false;
    var unused = socket.close(); // The process or the event loop ends with it.
  }
}
