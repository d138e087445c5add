package fawndock.platformconfig;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Parses JSON objects and gives typed access to their fields. Stateless and thread-safe. */
public final class Json {
  private static final JsonFactory FACTORY = new JsonFactory();

  /**
   * One JSON object. Its accessors throw {@link MalformedMessageException} when a value is missing
   * or has another type; those with a default return it when the value is missing or null.
   */
  public record JsonObject(Map<String, Object> fields) {
    /** Returns a required string. */
    public String text(String key) {
      return required(key, String.class);
    }

    /** Returns a string, or the default. */
    public String textOr(String key, String defaultValue) {
      return has(key) ? required(key, String.class) : defaultValue;
    }

    /** Returns a required integer. */
    public long integer(String key) {
      return required(key, Number.class).longValue();
    }

    /** Returns an integer, or the default. */
    public long integerOr(String key, long defaultValue) {
      return has(key) ? integer(key) : defaultValue;
    }

    /** Returns a number, or the default. */
    public double numberOr(String key, double defaultValue) {
      return has(key) ? required(key, Number.class).doubleValue() : defaultValue;
    }

    /** Returns a boolean; false when it is missing or null. */
    public boolean booleanOrFalse(String key) {
      return has(key) && required(key, Boolean.class);
    }

    /** Returns a required object. */
    public JsonObject object(String key) {
      return required(key, JsonObject.class);
    }

    /** Returns an object; an empty one when it is missing or null. */
    public JsonObject objectOrEmpty(String key) {
      return has(key) ? object(key) : new JsonObject(Map.of());
    }

    /** Returns a required list of objects. */
    public List<JsonObject> objects(String key) {
      List<JsonObject> objects = new ArrayList<>();
      for (Object element : required(key, List.class)) {
        if (!(element instanceof JsonObject object)) {
          throw new MalformedMessageException("'" + key + "' holds something other than an object");
        }
        objects.add(object);
      }
      return objects;
    }

    /** Returns a list of objects; an empty one when it is missing or null. */
    public List<JsonObject> objectsOrEmpty(String key) {
      return has(key) ? objects(key) : List.of();
    }

    /** Returns all fields. */
    public Map<String, Object> all() {
      return fields;
    }

    /** Returns whether this key has a value other than null. */
    public boolean has(String key) {
      return fields.get(key) != null;
    }

    private <T> T required(String key, Class<T> type) {
      Object value = fields.get(key);
      if (value == null) {
        throw new MalformedMessageException("'" + key + "' is missing");
      }
      if (!type.isInstance(value)) {
        throw new MalformedMessageException("'" + key + "' has the wrong type");
      }
      return type.cast(value);
    }
  }

  private Json() {}

  /**
   * Parses a text that contains exactly one object.
   *
   * @throws IOException when the text is not JSON
   * @throws MalformedMessageException when it is anything other than one object
   */
  public static JsonObject parse(String text) throws IOException {
    try (JsonParser parser = FACTORY.createParser(text)) {
      parser.nextToken();
      Object value = readValue(parser);
      if (!(value instanceof JsonObject object)) {
        throw new MalformedMessageException("not a JSON object");
      }
      if (parser.nextToken() != null) {
        throw new MalformedMessageException("more than one JSON value");
      }
      return object;
    }
  }

  private static Object readValue(JsonParser parser) throws IOException {
    JsonToken token = parser.currentToken();
    if (token == null) {
      throw new MalformedMessageException("unexpected end of the JSON text");
    }
    return switch (token) {
      case START_OBJECT -> readObject(parser);
      case START_ARRAY -> readArray(parser);
      case VALUE_STRING -> parser.getText();
      case VALUE_NUMBER_INT, VALUE_NUMBER_FLOAT -> parser.getNumberValue();
      case VALUE_TRUE -> true;
      case VALUE_FALSE -> false;
      default -> null;
    };
  }

  private static JsonObject readObject(JsonParser parser) throws IOException {
    Map<String, Object> fields = new LinkedHashMap<>();
    while (parser.nextToken() == JsonToken.FIELD_NAME) {
      String name = parser.currentName();
      parser.nextToken();
      fields.put(name, readValue(parser));
    }
    return new JsonObject(fields);
  }

  private static List<Object> readArray(JsonParser parser) throws IOException {
    List<Object> elements = new ArrayList<>();
    while (parser.nextToken() != JsonToken.END_ARRAY) {
      elements.add(readValue(parser));
    }
    return elements;
  }
}
