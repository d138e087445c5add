package fawndock.platformconfig;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Reads one JSON value into maps, lists and plain values, and takes fields from them. */
public final class Json {
  private static final JsonFactory FACTORY = new JsonFactory();

  /** One JSON object. */
  public record JsonObject(Map<String, Object> fields) {
    public String text(String key) {
      return required(key, String.class);
    }

    public String textOr(String key, String other) {
      return has(key) ? required(key, String.class) : other;
    }

    public long integer(String key) {
      return required(key, Number.class).longValue();
    }

    public long integerOr(String key, long other) {
      return has(key) ? integer(key) : other;
    }

    public double numberOr(String key, double other) {
      return has(key) ? required(key, Number.class).doubleValue() : other;
    }

    public boolean flag(String key) {
      return has(key) && required(key, Boolean.class);
    }

    public JsonObject object(String key) {
      return required(key, JsonObject.class);
    }

    public JsonObject objectOr(String key) {
      return has(key) ? object(key) : new JsonObject(Map.of());
    }

    public List<JsonObject> objects(String key) {
      List<JsonObject> found = new ArrayList<>();
      for (Object each : required(key, List.class)) {
        if (!(each instanceof JsonObject obj)) {
          throw new MalformedMessageException("'" + key + "' holds something other than an object");
        }
        found.add(obj);
      }
      return found;
    }

    public List<JsonObject> objectsOr(String key) {
      return has(key) ? objects(key) : List.of();
    }

    public Map<String, Object> all() {
      return fields;
    }

    /** Whether there is a value under this key. */
    public boolean has(String key) {
      return fields.get(key) != null;
    }

    private <T> T required(String key, Class<T> type) {
      Object value = fields.get(key);
      if (value == null) {
        throw new MalformedMessageException("'" + key + "' is missing");
      }
      if (!type.isInstance(value)) {
        throw new MalformedMessageException("'" + key + "' is not of the right type");
      }
      return type.cast(value);
    }
  }

  private Json() {}

  /** Reads a line that holds exactly one object. */
  public static JsonObject parse(String line) throws IOException {
    try (JsonParser parser = FACTORY.createParser(line)) {
      parser.nextToken();
      Object value = value(parser);
      if (!(value instanceof JsonObject obj)) {
        throw new MalformedMessageException("not a JSON object");
      }
      if (parser.nextToken() != null) {
        throw new MalformedMessageException("more than one JSON value");
      }
      return obj;
    }
  }

  private static Object value(JsonParser parser) throws IOException {
    JsonToken token = parser.currentToken();
    if (token == null) {
      throw new MalformedMessageException("the JSON ends too early");
    }
    return switch (token) {
      case START_OBJECT -> object(parser);
      case START_ARRAY -> array(parser);
      case VALUE_STRING -> parser.getText();
      case VALUE_NUMBER_INT, VALUE_NUMBER_FLOAT -> parser.getNumberValue();
      case VALUE_TRUE -> Boolean.TRUE;
      case VALUE_FALSE -> Boolean.FALSE;
      default -> null;
    };
  }

  private static JsonObject object(JsonParser parser) throws IOException {
    Map<String, Object> fields = new LinkedHashMap<>();
    while (parser.nextToken() == JsonToken.FIELD_NAME) {
      String name = parser.currentName();
      parser.nextToken();
      fields.put(name, value(parser));
    }
    return new JsonObject(fields);
  }

  private static List<Object> array(JsonParser parser) throws IOException {
    List<Object> items = new ArrayList<>();
    while (parser.nextToken() != JsonToken.END_ARRAY) {
      items.add(value(parser));
    }
    return items;
  }
}
