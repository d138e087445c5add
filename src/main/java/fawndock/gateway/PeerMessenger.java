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
 * Messages among gatekeepers: a UDP datagram {@code fd1 TO FROM TEXT} of at most 256 bytes in all.
 * Nothing is sent again; what is too long to send, comes from elsewhere, is for somebody else or
 * comes too fast is dropped.
 */
final class PeerMessenger {
  static final int MAX_DATAGRAM_BYTES = 256;
  private static final Logger LOG = LoggerFactory.getLogger(PeerMessenger.class);
  private final Peers peers;
  private final int instanceIndex;
  private final MicroClock clock;
  private final Consumer<PeerMessageReceived> listener;
  private final DatagramSocket socket;
  private double receiveTokens;
  private long refilledAtMicros;
  private boolean isListening;

  PeerMessenger(
      Vertx vertx, Peers peers, int me, MicroClock clock, Consumer<PeerMessageReceived> told) {
    this.peers = peers;
    this.instanceIndex = me;
    this.clock = clock;
    this.listener = told;
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
              socket.handler(packet -> receive(packet.data()));
              socket.exceptionHandler(e -> LOG.warn("peer datagram: {}", e.getMessage()));
              return bound.localAddress().port();
            });
  }

  void send(SendPeerMessage tell) {
    for (Map.Entry<Integer, Address> peer : peers.addresses().entrySet()) {
      if (peer.getKey() == instanceIndex
          || tell.toInstance() >= 0 && tell.toInstance() != peer.getKey()) {
        continue;
      }
      Buffer datagram = encode(peer.getKey(), instanceIndex, tell.text());
      if (datagram.length() <= MAX_DATAGRAM_BYTES && isListening) {
        socket.send(datagram, peer.getValue().port(), peer.getValue().host());
      } else {
        LOG.debug("a message of {} bytes was not sent", datagram.length());
      }
    }
  }

  static Buffer encode(int to, int from, String text) {
    return Buffer.buffer("fd1 " + to + " " + from + " " + text, StandardCharsets.UTF_8.name());
  }

  private void receive(Buffer data) {
    long now = clock.now();
    receiveTokens =
        Math.min(
            peers.maxMessagesPerSecond(),
            receiveTokens + (now - refilledAtMicros) / 1e6 * peers.maxMessagesPerSecond());
    refilledAtMicros = now;
    String[] words =
        data.length() > MAX_DATAGRAM_BYTES ? new String[0] : data.toString().split(" ", 4);
    boolean ours =
        words.length == 4
            && words[0].equals("fd1")
            && words[1].equals(Integer.toString(instanceIndex))
            && words[2].matches("[0-9]{1,4}")
            && peers.addresses().containsKey(Integer.parseInt(words[2]));
    if (ours && receiveTokens >= 1) {
      receiveTokens--;
      listener.accept(new PeerMessageReceived(Integer.parseInt(words[2]), words[3]));
    }
  }

  void close() {
    isListening = false;
    socket.close();
  }
}
