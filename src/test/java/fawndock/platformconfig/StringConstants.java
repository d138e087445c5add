package fawndock.platformconfig;

import java.lang.reflect.Field;
import java.lang.reflect.Modifier;
import java.util.ArrayList;
import java.util.List;

/** Collects the string constants of a class, for tests that compare them with a golden list. */
public final class StringConstants {
  private StringConstants() {}

  /** Returns the sorted values of a class's static strings whose names start with this prefix. */
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

  /** Splits words at blanks and returns them sorted. */
  public static List<String> sorted(String words) {
    List<String> values = new ArrayList<>(List.of(words.trim().split("\\s+", 0)));
    values.sort(null);
    return values;
  }
}
