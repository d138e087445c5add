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

/** Objects are found however the bytes are cut, indented and spread over lines. */
class JsonFramerTest {
  private static final class Heard implements JsonFramer.Listener {
    final List<String> objects = new ArrayList<>();
    int lines;
    String wrong;

    @Override
    public void onObject(String text) {
      objects.add(text);
    }

    @Override
    public void onLineEnd() {
      lines++;
    }

    @Override
    public void onMalformed(String why) {
      wrong = why;
    }
  }

  private static Heard take(String... parts) {
    Heard heard = new Heard();
    JsonFramer framer = new JsonFramer(2_000);
    for (String part : parts) {
      ByteBuf bytes = Unpooled.copiedBuffer(part, StandardCharsets.UTF_8);
      framer.read(bytes, heard);
      assertEquals(0, bytes.readableBytes());
    }
    return heard;
  }

  @Test
  void everyCutOfTwoListsGivesTheSame() throws Exception {
    String first =
        FakeDiscoveryServer.endpointListJson(
            41, true, "a", "127.0.0.1:1", "ready", "b{\\\"}", "127.0.0.1:2", "draining");
    String second = FakeDiscoveryServer.endpointListJson(42, false, "ä", "127.0.0.1:3", "gone");
    String indented = "{\n  \"index\": 43,\n  \"snapshot\": false,\n  \"endpoints\": [\n\n  ]\n}";
    String all = first + "\n\n" + second + "\r\n" + indented + "\n";
    for (int cut = 0; cut <= all.length(); cut++) {
      Heard heard = take(all.substring(0, cut), all.substring(cut));
      assertEquals(List.of(first, second, indented), heard.objects);
      assertEquals(4, heard.lines);
    }
    assertEquals(List.of(first, second, indented), take(all.split("")).objects);
    assertEquals(43, EndpointListCodec.decode(Json.parse(indented)).version());
  }

  @Test
  void noiseAndEndlessObjectsAreToldOnce() {
    assertEquals("no JSON object", take("\n", "what{\"index\":1}", "{}").wrong);
    assertEquals(0, take("[1]", "{}").objects.size());
    assertEquals("an object of more than 2000 bytes", take("{\"a\":\"" + "x".repeat(3_000)).wrong);
  }
}
