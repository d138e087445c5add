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
 * Exchanges messages with the other instances of the fleet, each as one UDP datagram {@code fd1 TO
 * FROM TEXT} of at most 256 bytes in total. Messages are not retransmitted. A message is dropped if
 * it is too long, comes from an unknown instance, is addressed to another instance or exceeds the
 * receive rate limit. The messenger is confined to one event-loop context.
 */
final class PeerMessenger implements AutoCloseable {
  static final int MAX_DATAGRAM_BYTES = 256;
  private static final String PROTOCOL_VERSION = "fd1";
  private static final Logger LOG = LoggerFactory.getLogger(PeerMessenger.class);
  private final Peers peers;
  private final int instanceIndex;
  private final MicroClock clock;
  private final Consumer<PeerMessageReceived> listener;
  private final DatagramSocket socket;

  /**
   * Tokens of the receive rate limit, one for each message; the bucket holds the tokens of one
   * second.
   */
  private double receiveTokens;

  private long refilledAtMicros;
  private boolean isListening;

  /** Creates a messenger that {@link #start} starts. */
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

  /** Starts listening; the future completes with the bound port. */
  Future<Integer> start() {
    return socket
        .listen(peers.listen().port(), peers.listen().host())
        .map(
            boundSocket -> {
              isListening = true;
              socket.handler(packet -> onDatagram(packet.data()));
              socket.exceptionHandler(
                  error -> LOG.warn("peer datagram failed: reason=\"{}\"", error.getMessage()));
              return boundSocket.localAddress().port();
            });
  }

  /** Sends a message to one instance, or to all others if the index is negative. */
  void send(SendPeerMessage message) {
    for (Map.Entry<Integer, Address> peer : peers.addresses().entrySet()) {
      int toInstance = peer.getKey();
      boolean isAddressed = message.toInstance() < 0 || message.toInstance() == toInstance;
      if (toInstance == instanceIndex || !isAddressed) {
        continue;
      }
      Buffer datagram = encode(toInstance, instanceIndex, message.text());
      if (datagram.length() <= MAX_DATAGRAM_BYTES && isListening) {
        var unused =
            socket.send(
                datagram,
                peer.getValue().port(),
                peer.getValue().host()); // Lost messages are not retransmitted.
      } else {
        LOG.debug("peer message not sent: bytes={}", datagram.length());
      }
    }
  }

  static Buffer encode(int toInstance, int fromInstance, String text) {
    return Buffer.buffer(
        PROTOCOL_VERSION + " " + toInstance + " " + fromInstance + " " + text,
        StandardCharsets.UTF_8.name());
  }

  private void onDatagram(Buffer data) {
    long nowMicros = clock.nowMicros();
    double tokens =
        receiveTokens + (nowMicros - refilledAtMicros) / 1e6 * peers.maxMessagesPerSecond();
    receiveTokens = Math.min(peers.maxMessagesPerSecond(), tokens);
    refilledAtMicros = nowMicros;
    String[] fields =
        data.length() > MAX_DATAGRAM_BYTES ? new String[0] : data.toString().split(" ", 4);
    boolean isValid =
        fields.length == 4
            && fields[0].equals(PROTOCOL_VERSION)
            && fields[1].equals(Integer.toString(instanceIndex))
            && fields[2].matches("[0-9]{1,4}")
            && peers.addresses().containsKey(Integer.parseInt(fields[2]));
    if (isValid && receiveTokens >= 1) {
      receiveTokens--;
      listener.accept(new PeerMessageReceived(Integer.parseInt(fields[2]), fields[3]));
    }
  }

  /** Closes the socket. Closing it again has no effect. */
  @Override
  public void close() {
    isListening = false;
    var unused = socket.close(); // The process or the event loop is closing.
  }
}
