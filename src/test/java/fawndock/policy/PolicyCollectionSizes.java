package fawndock.policy;

import java.lang.reflect.Field;
import java.lang.reflect.Modifier;
import java.util.Collection;
import java.util.Collections;
import java.util.IdentityHashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** Finds every map and collection that the rules of a policy keep, at any depth of their fields. */
public final class PolicyCollectionSizes {
  private final Set<Object> seen = Collections.newSetFromMap(new IdentityHashMap<>());
  private final Map<String, Integer> sizes = new TreeMap<>();

  private PolicyCollectionSizes() {}

  /** The sizes by class and field. */
  public static Map<String, Integer> sizes(GatewayPolicy policy) throws IllegalAccessException {
    PolicyCollectionSizes tables = new PolicyCollectionSizes();
    tables.visit(policy);
    return tables.sizes;
  }

  private void visit(Object rule) throws IllegalAccessException {
    if (!seen.add(rule)) {
      return;
    }
    for (Field field : rule.getClass().getDeclaredFields()) {
      if (Modifier.isStatic(field.getModifiers())) {
        continue;
      }
      field.setAccessible(true);
      Object value = field.get(rule);
      String name = rule.getClass().getSimpleName() + "." + field.getName();
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
