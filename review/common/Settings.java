/** Settings in the form of the wire page, with the figures of the site colonia-reservas. */
final class Settings {
  private Settings() {}

  static final String LOOKUP =
      clazz("ver-reserva", 800, 3_000, "idempotent", 0, 1);
  static final String KEYED =
      clazz("anotar-pasajero", 500, 1_200, "deduplicated", 1_200, 3);
  static final String UNSAFE =
      clazz("cobrar-sena", 1_500, 5_000, "at_most_once", 0, 5);

  static String clazz(String name, int aimMs, int deadlineMs, String effect, int windowMs, int worth) {
    return "{\"aim-us\":" + aimMs + "000,\"deadline-us\":" + deadlineMs + "000,\"group\":\"all\",\"idempotency\":\"" + effect
        + "\",\"late-worth\":0.0,\"name\":\"" + name + "\",\"streaming\":false,\"window-us\":" + windowMs * 1_000L
        + ",\"worth\":" + worth + ".0}";
  }

  static String colonia() {
    return settings(250, LOOKUP, KEYED, UNSAFE);
  }

  static String settings(int connectTimeoutMs, String... classes) {
    return "{\"azs\":[\"sala-norte\",\"sala-sur\"],\"callers\":{\"marks-retry\":false},"
        + "\"caps\":{\"cancel\":true,\"conn-idle-us\":30000000,\"connect-timeout-us\":" + connectTimeoutMs
        + "000,\"cpu-us-per-request\":0.0,\"cpu-us-per-s\":500000,\"max-attempts\":5,\"max-open\":30000,"
        + "\"max-retry-after-us\":2000000,\"may-duplicate\":false,\"peers\":false,\"probes\":false,"
        + "\"retry-after\":true,\"streams-per-conn\":32},"
        + "\"classes\":[" + String.join(",", classes) + "],"
        + "\"deductions\":{\"waste\":0.03},"
        + "\"extra\":{\"count-wait-us\":80000,\"counter\":true,\"counter-price\":0.01,\"meter-us\":0,\"most-units\":1,"
        + "\"trued-up\":false},"
        + "\"family\":\"gate\",\"kinds\":[\"chico-2\"],\"layers\":[\"reservas\"],"
        + "\"load-info\":{\"how\":\"piggyback\",\"names\":[\"recent_ms\",\"throughput\",\"backlog\"]},"
        + "\"locality\":\"sala-norte\",\"me\":0,"
        + "\"packages\":[" + plan("basico", 0.5, 1.0, 6.0) + "," + plan("mayorista", 1.8, 22.0, 60.0) + "],"
        + "\"peers-total\":1,\"registry-mode\":\"automatic\",\"round-us\":4000,"
        + "\"rules\":{\"ask-within-us\":10000000,\"cold-share\":0.19,\"cold-us\":18000000,\"drain-grace-us\":500000,"
        + "\"fall-multiple\":2.0,\"fall-us\":3000000,\"grace-to-answer-us\":16000},"
        + "\"tier\":0,\"weight-source\":\"silent\"}";
  }

  private static String plan(String name, double pays, double rate, double store) {
    return "{\"ceiling-burst\":0.0,\"concurrency\":0,\"extra-worth\":0.0,\"hard-rate\":0.0,\"name\":\"" + name
        + "\",\"over-cost\":1.2,\"pays\":" + pays + ",\"rate\":" + rate + ",\"store-size\":" + store + ",\"tolerance\":0.0}";
  }
}
