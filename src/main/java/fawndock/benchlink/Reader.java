package fawndock.benchlink;

import fawndock.Gatekeeper.Availability;
import fawndock.Gatekeeper.Counted;
import fawndock.Gatekeeper.Counter;
import fawndock.Gatekeeper.Event;
import fawndock.Gatekeeper.Gone;
import fawndock.Gatekeeper.Group;
import fawndock.Gatekeeper.Limits;
import fawndock.Gatekeeper.Listing;
import fawndock.Gatekeeper.Message;
import fawndock.Gatekeeper.Outcome;
import fawndock.Gatekeeper.Plan;
import fawndock.Gatekeeper.Probed;
import fawndock.Gatekeeper.Repeat;
import fawndock.Gatekeeper.Request;
import fawndock.Gatekeeper.RequestClass;
import fawndock.Gatekeeper.Result;
import fawndock.Gatekeeper.Rules;
import fawndock.Gatekeeper.Server;
import fawndock.Gatekeeper.Servers;
import fawndock.Gatekeeper.Settings;
import fawndock.Gatekeeper.Started;
import fawndock.Gatekeeper.Wake;
import fawndock.benchlink.Json.Obj;
import java.util.LinkedHashMap;
import java.util.Map;

/** Translates the wire's events and settings into the interface's. */
final class Reader {
    private static final int REPEAT_BIT = 2;
    private static final Map<String, String> LOAD_NAMES = Map.of("outstanding", "inFlight", "backlog", "queue",
            "utilization", "utilization", "recent_ms", "recentMillis", "throughput", "throughput",
            "errors_per_s", "errors");

    private Reader() {
    }

    static Event event(String what, Obj e) {
        return switch (what) {
            case "Call" -> new Request(e.integer("op-id"), e.text("class"), e.text("tariff"), e.text("customer"),
                    e.integer("give-up-at-us"), e.numberOr("price-units", 1), (int) e.integerOr("doors", 1),
                    (int) e.integerOr("base", 0), (e.integerOr("attrs", 0) & REPEAT_BIT) != 0);
            case "AttemptEnd" -> new Outcome(e.integer("op-id"), (int) e.integerOr("try", 0), e.text("worker"),
                    e.integerOr("duration-us", 0), result(e.text("verdict")), e.flag("terminal"),
                    e.numberOr("charged", 0), load(e.objectOr("stats")));
            case "Started" -> new Started(e.integer("op-id"), (int) e.integerOr("try", 0), e.text("worker"));
            case "HealthResult" -> new Probed(e.text("worker"), e.integerOr("duration-us", 0),
                    result(e.text("verdict")), load(e.objectOr("stats")));
            case "LedgerReply" -> new Counted(e.text("book"), result(e.text("verdict")), e.numberOr("level", 0),
                    e.integerOr("duration-us", 0));
            case "Expired" -> new Gone(e.integer("op-id"));
            case "Timer" -> new Wake(e.text("cookie"));
            case "Mail" -> new Message((int) e.integer("from"), e.text("body"));
            case "Registry" -> new Servers(listing(e.text("kind")),
                    e.objectsOr("members-list").stream().map(Reader::server).toList());
            default -> throw new WireException("unknown event '" + what + "'");
        };
    }

    static Settings settings(Obj attach) {
        Obj o = attach.object("options");
        Obj caps = o.objectOr("caps");
        Obj rules = o.objectOr("rules");
        Obj extra = o.objectOr("extra");
        return new Settings((int) o.integerOr("me", 0), (int) o.integerOr("peers-total", 1),
                attach.integerOr("rng-seed", 0), o.integerOr("round-us", 1000), o.textOr("locality", ""),
                o.textOr("registry-mode", "automatic").equals("subscribe"),
                o.objectsOr("classes").stream().map(Reader::requestClass).toList(),
                o.objectsOr("packages").stream().map(Reader::plan).toList(),
                new Limits((int) caps.integerOr("max-attempts", 1),
                        (int) caps.integerOr("max-open", Integer.MAX_VALUE),
                        caps.integerOr("max-retry-after-us", 0), caps.flag("may-duplicate"), caps.flag("cancel"),
                        caps.flag("probes"), caps.flag("peers"), caps.flag("retry-after")),
                new Rules(rules.integerOr("grace-to-answer-us", 0), rules.integerOr("drain-grace-us", 0),
                        rules.numberOr("cold-share", 1), rules.integerOr("cold-us", 0),
                        rules.numberOr("fall-multiple", 1), rules.integerOr("fall-us", 0),
                        rules.integerOr("ask-within-us", 0)),
                new Counter(extra.flag("counter"), extra.integerOr("count-wait-us", 0), extra.flag("trued-up")));
    }

    private static RequestClass requestClass(Obj c) {
        long deadline = c.integer("deadline-us");
        return new RequestClass(c.text("name"), c.integerOr("aim-us", deadline), c.numberOr("aim-stretch", 0),
                deadline, c.numberOr("worth", 1), c.numberOr("late-worth", 0),
                constant(Repeat.class, c.textOr("idempotency", "at_most_once")),
                constant(Group.class, c.textOr("group", "cell")), c.integerOr("window-us", 0), c.flag("streaming"));
    }

    private static Plan plan(Obj p) {
        return new Plan(p.text("name"), p.numberOr("rate", 0), p.numberOr("store-size", 0),
                (int) p.integerOr("concurrency", 0), p.numberOr("pays", 1), p.numberOr("extra-worth", 0),
                p.numberOr("over-cost", 0), p.numberOr("hard-rate", 0), p.numberOr("ceiling-burst", 0),
                p.numberOr("tolerance", 0));
    }

    private static Server server(Obj s) {
        return new Server(s.text("worker"), s.textOr("site", ""), (int) s.integerOr("pod", 0),
                constant(Availability.class, s.textOr("availability", "Running")), s.numberOr("power-hint", 1),
                s.integerOr("start-time-us", 0));
    }

    private static Map<String, Double> load(Obj stats) {
        Map<String, Double> load = new LinkedHashMap<>();
        stats.all().forEach((name, value) -> {
            if (LOAD_NAMES.containsKey(name) && value instanceof Number number) {
                load.put(LOAD_NAMES.get(name), number.doubleValue());
            }
        });
        return load;
    }

    private static Listing listing(String kind) {
        return switch (kind) {
            case "delta" -> Listing.CHANGES;
            case "full" -> Listing.COMPLETE;
            case "cached" -> Listing.CACHED;
            case "failed" -> Listing.FAILED;
            default -> throw new WireException("unknown list kind '" + kind + "'");
        };
    }

    private static Result result(String verdict) {
        return switch (verdict) {
            case "delivered" -> Result.OK;
            case "app_error" -> Result.ERROR;
            case "shed" -> Result.SHED;
            case "expired" -> Result.TIMEOUT;
            case "dial_failed" -> Result.CONNECT_FAILED;
            case "dropped" -> Result.RESET;
            case "revoked" -> Result.CANCELLED;
            case "unused" -> Result.UNUSED;
            default -> throw new WireException("unknown verdict '" + verdict + "'");
        };
    }

    private static <T extends Enum<T>> T constant(Class<T> type, String word) {
        for (T each : type.getEnumConstants()) {
            if (each.name().equalsIgnoreCase(word)) {
                return each;
            }
        }
        throw new WireException("unknown word '" + word + "'");
    }
}
