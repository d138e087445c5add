package fawndock.platformconfig;

import java.lang.reflect.Field;
import java.lang.reflect.Modifier;
import java.util.ArrayList;
import java.util.List;

/** Collects the text constants of a class, for tests that hold the words of a protocol. */
public final class StringConstants {
  private StringConstants() {}

  /** Returns the sorted values of all static texts of a class whose name begins so. */
  public static List<String> of(Class<?> type, String namePrefix) throws IllegalAccessException {
    List<String> values = new ArrayList<>();
    for (Field field : type.getDeclaredFields()) {
      if (field.getType() == String.class
          && Modifier.isStatic(field.getModifiers())
          && field.getName().startsWith(namePrefix)) {
        field.setAccessible(true);
        values.add((String) field.get(null));
      }
    }
    values.sort(null);
    return values;
  }

  /** Returns words separated by blanks as a sorted list. */
  public static List<String> sorted(String words) {
    List<String> values = new ArrayList<>(List.of(words.trim().split("\\s+", 0)));
    values.sort(null);
    return values;
  }
}
