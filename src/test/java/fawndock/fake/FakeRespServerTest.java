package fawndock.fake;

import static org.junit.jupiter.api.Assertions.assertThrows;

import java.net.ConnectException;
import java.net.Socket;
import org.junit.jupiter.api.Test;

/** What tests rely on of the fake backend and counter. */
class FakeRespServerTest {
  private static final int REPETITIONS = 200;

  /** A connection that is still taken would end as a reset, which is another outcome. */
  @Test
  void closedServer_refusesConnectionsFromThenOn() throws Exception {
    for (int i = 0; i < REPETITIONS; i++) {
      FakeRespServer server = new FakeRespServer(FakeRespServer.backendHandler());
      int port = server.port();
      try (RespClient client = new RespClient(port)) {
        client.call(FakePlatform.requestCommand("pay", "large", 7, i, ""));
      }
      server.close();
      assertThrows(ConnectException.class, () -> new Socket("127.0.0.1", port).close());
    }
  }
}
