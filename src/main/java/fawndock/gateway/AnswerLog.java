package fawndock.gateway;

import static net.logstash.logback.argument.StructuredArguments.kv;

import fawndock.gateway.Exchange.Asked;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** One line for each final answer, under the logger {@code fawndock.answers}; docs/operations.md lists its fields. */
final class AnswerLog {
    private static final Logger LOG = LoggerFactory.getLogger("fawndock.answers");
    private final int gatekeeper;
    private final boolean on;

    AnswerLog(int gatekeeper, boolean on) {
        this.gatekeeper = gatekeeper;
        this.on = on;
    }

    void answered(OpenRequest request, long now, String verdict, int status, String reason) {
        if (on && LOG.isInfoEnabled()) {
            Asked a = request.exchange.asked();
            LOG.info("{} {} {} {} {} {} {} {} {} {} {} {}", kv("request", request.id), kv("label", a.label()),
                    kv("gatekeeper", gatekeeper), kv("class", a.type().name()), kv("plan", a.plan()),
                    kv("customer", a.customer()), kv("attempts", request.attempts.size()), kv("verdict", verdict),
                    kv("reason", reason), kv("status", status), kv("took_us", now - a.arrivedAt()),
                    kv("left_us", a.giveUpAt() - now));
        }
    }

    /** A request that was answered without asking the gatekeeper. */
    void turnedAway(String label, int status, String reason) {
        if (on && LOG.isInfoEnabled()) {
            LOG.info("{} {} {} {} {}", kv("label", label), kv("gatekeeper", gatekeeper),
                    kv("verdict", "turned away"), kv("reason", reason), kv("status", status));
        }
    }
}
