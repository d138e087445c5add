package fawndock.fake;

import static org.junit.jupiter.api.Assertions.assertThrows;

import java.net.ConnectException;
import java.net.Socket;
import org.junit.jupiter.api.Test;

/** Tests the behaviour of {@link FakeRespServer} on which other tests rely. */
class FakeRespServerTest {
  private static final int REPETITIONS = 200;

  /**
   * A closed server must refuse connections. If it still accepted them, they would end in a reset,
   * which is a different outcome.
   */
  @Test
  void close_refusesNewConnections() throws Exception {
    for (int requestId = 0; requestId < REPETITIONS; requestId++) {
      FakeRespServer server = new FakeRespServer(FakeRespServer.backendHandler());
      int port = server.port();
      try (RespClient client = new RespClient(port)) {
        client.call(FakePlatform.requestCommand("pay", "large", 7, requestId, ""));
      }
      server.close();
      assertThrows(ConnectException.class, () -> new Socket("127.0.0.1", port).close());
    }
  }
}
