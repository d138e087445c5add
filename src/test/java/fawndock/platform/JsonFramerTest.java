package fawndock.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;

import fawndock.fake.FakeDiscoveryServer;
import fawndock.platformconfig.Json;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests that objects are found independent of chunk boundaries, indentation and line breaks. */
class JsonFramerTest {
  private static final class RecordingListener implements JsonFramer.Listener {
    final List<String> objects = new ArrayList<>();
    int lineEnds;
    String malformedReason;

    @Override
    public void onObject(String text) {
      objects.add(text);
    }

    @Override
    public void onLineEnd() {
      lineEnds++;
    }

    @Override
    public void onMalformed(String reason) {
      malformedReason = reason;
    }
  }

  private static RecordingListener read(String... chunks) {
    RecordingListener listener = new RecordingListener();
    JsonFramer framer = new JsonFramer(2_000);
    for (String chunk : chunks) {
      ByteBuf bytes = Unpooled.copiedBuffer(chunk, StandardCharsets.UTF_8);
      framer.read(bytes, listener);
      assertEquals(0, bytes.readableBytes());
    }
    return listener;
  }

  @Test
  void objects_areFoundAtAnyChunkBoundary() throws Exception {
    String first =
        FakeDiscoveryServer.endpointListJson(
            41, true, "a", "127.0.0.1:1", "ready", "b{\\\"}", "127.0.0.1:2", "draining");
    String second = FakeDiscoveryServer.endpointListJson(42, false, "ä", "127.0.0.1:3", "gone");
    String indented = "{\n  \"index\": 43,\n  \"snapshot\": false,\n  \"endpoints\": [\n\n  ]\n}";
    String stream = first + "\n\n" + second + "\r\n" + indented + "\n";
    for (int boundary = 0; boundary <= stream.length(); boundary++) {
      RecordingListener listener = read(stream.substring(0, boundary), stream.substring(boundary));
      assertEquals(List.of(first, second, indented), listener.objects);
      assertEquals(4, listener.lineEnds);
    }
    assertEquals(List.of(first, second, indented), read(stream.split("")).objects);
    assertEquals(43, EndpointListCodec.decode(Json.parse(indented)).version());
  }

  @Test
  void malformedInput_isReportedOnce() {
    assertEquals("no JSON object", read("\n", "what{\"index\":1}", "{}").malformedReason);
    assertEquals(0, read("[1]", "{}").objects.size());
    assertEquals(
        "an object of more than 2000 bytes", read("{\"a\":\"" + "x".repeat(3_000)).malformedReason);
  }
}
