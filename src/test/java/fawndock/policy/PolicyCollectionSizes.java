package fawndock.policy;

import java.lang.reflect.Field;
import java.lang.reflect.Modifier;
import java.util.Collection;
import java.util.Collections;
import java.util.IdentityHashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** Finds the sizes of all maps and collections that a policy holds, at any depth of its fields. */
public final class PolicyCollectionSizes {
  private final Set<Object> visited = Collections.newSetFromMap(new IdentityHashMap<>());
  private final Map<String, Integer> sizes = new TreeMap<>();

  private PolicyCollectionSizes() {}

  /** Returns the sizes by class and field. */
  public static Map<String, Integer> sizes(GatewayPolicy policy) throws IllegalAccessException {
    PolicyCollectionSizes collections = new PolicyCollectionSizes();
    collections.visit(policy);
    return collections.sizes;
  }

  private void visit(Object object) throws IllegalAccessException {
    if (!visited.add(object)) {
      return;
    }
    for (Field field : object.getClass().getDeclaredFields()) {
      if (Modifier.isStatic(field.getModifiers())) {
        continue;
      }
      field.setAccessible(true);
      Object value = field.get(object);
      String name = object.getClass().getSimpleName() + "." + field.getName();
      if (value instanceof Map<?, ?> map) {
        sizes.merge(name, map.size(), Math::max);
      } else if (value instanceof Collection<?> collection) {
        sizes.merge(name, collection.size(), Math::max);
      } else if (value != null && value.getClass().getName().startsWith("fawndock.policy.")) {
        visit(value);
      }
    }
  }
}
