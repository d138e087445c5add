package fawndock.platform;

import fawndock.settings.Address;
import fawndock.wire.Json;
import fawndock.wire.WireException;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import fawndock.host.Alarms;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Follows the catalog at one address: the whole list, then the changes after it, for as long as it lives. A watch on
 * which nothing comes, not even an empty line, is dead and is made again from the version last seen. One context.
 */
final class CatalogWatch {
    private static final Logger LOG = LoggerFactory.getLogger(CatalogWatch.class);
    private static final String PATH = "/catalog/members";
    /** Empty lines come every 2 s; two of them missing is a dead watch. */
    private static final long DEAD_MICROS = 4_500_000;
    private static final long ANSWER_MICROS = 1_500_000;
    private static final long FIRST_PAUSE = 50_000;
    private static final long LONGEST_PAUSE = 1_000_000;
    private static final int LONGEST_LINE = 4 << 20;
    private final HttpClient client;
    private final Alarms alarms;
    private final Address address;
    private final Consumer<CatalogList> told;
    private Buffer line = Buffer.buffer();
    private HttpClientRequest request;
    private Alarms.Alarm limit;
    private long index = -1;
    private long pause = FIRST_PAUSE;
    private int generation;
    private boolean closed;

    CatalogWatch(Vertx vertx, Address address, Alarms alarms, Consumer<CatalogList> told) {
        this.alarms = alarms;
        this.address = address;
        this.told = told;
        client = vertx.createHttpClient(new HttpClientOptions().setConnectTimeout(1_000).setTcpNoDelay(true)
                .setKeepAlive(false).setMaxChunkSize(64 << 10));
    }

    /** Asks for the whole list, and then for what changes. Told again, begins anew. */
    void start() {
        index = -1;
        ask();
    }

    private void ask() {
        int mine = ++generation;
        boolean whole = index < 0;
        alarms.cancel(limit);
        limit = alarms.after(ANSWER_MICROS, () -> again(mine, "no answer"));
        HttpClientRequest before = request;
        request = null;
        if (before != null) {
            before.reset();
        }
        line = Buffer.buffer();
        client.request(new RequestOptions().setMethod(HttpMethod.GET).setHost(address.host()).setPort(address.port())
                .setURI(whole ? PATH : PATH + "?stream=1&index=" + index)).compose(made -> {
                    if (mine == generation) {
                        request = made;
                    }
                    return made.send();
                }).onComplete(answer -> {
                    if (mine != generation || closed) {
                        return;
                    }
                    if (answer.failed() || answer.result().statusCode() != 200) {
                        again(mine, answer.failed() ? answer.cause().toString() : "status " + answer.result().statusCode());
                    } else {
                        read(mine, whole, answer.result());
                    }
                });
    }

    private void read(int mine, boolean whole, HttpClientResponse answer) {
        alive(mine, whole);
        answer.exceptionHandler(e -> again(mine, e.toString()));
        answer.handler(part -> {
            if (mine == generation) {
                alive(mine, whole);
                lines(mine, part, whole);
            }
        });
        answer.endHandler(end -> {
            if (mine != generation) {
                return;
            }
            if (whole && take(line)) {
                pause = FIRST_PAUSE;
                ask();
            } else {
                again(mine, "ended");
            }
        });
    }

    private void alive(int mine, boolean whole) {
        alarms.cancel(limit);
        limit = alarms.after(whole ? ANSWER_MICROS : DEAD_MICROS, () -> again(mine, "silent"));
    }

    private void lines(int mine, Buffer part, boolean whole) {
        int from = 0;
        for (int i = 0; i < part.length() && !whole; i++) {
            if (part.getByte(i) == '\n') {
                Buffer ended = line.appendBuffer(part.slice(from, i));
                line = Buffer.buffer();
                from = i + 1;
                if (!ended.toString(StandardCharsets.UTF_8).isBlank() && take(ended)) {
                    pause = FIRST_PAUSE;
                }
            }
        }
        line.appendBuffer(part.slice(from, part.length()));
        if (line.length() > LONGEST_LINE) {
            again(mine, "a line of more than " + LONGEST_LINE + " bytes");
        }
    }

    /** Takes in a list; one that cannot be read is reported, and the whole list is asked for anew. */
    private boolean take(Buffer text) {
        try {
            CatalogList list = CatalogList.of(Json.parse(text.toString(StandardCharsets.UTF_8)));
            if (list.whole() && list.servers().isEmpty()) {
                LOG.warn("catalog {}: an empty list, the last one stays", address);
                return false;
            }
            index = Math.max(0, list.index());
            told.accept(list);
            return true;
        } catch (IOException | WireException | NumberFormatException e) {
            LOG.warn("catalog {}: a list that cannot be read: {}", address, e.getMessage());
            index = -1;
            again(generation, "unreadable");
            return false;
        }
    }

    private void again(int mine, String why) {
        if (mine != generation || closed) {
            return;
        }
        generation++;
        alarms.cancel(limit);
        LOG.info("catalog {}: {}, asking again in {} ms", address, why, pause / 1_000);
        limit = alarms.after(pause, this::ask);
        pause = Math.min(LONGEST_PAUSE, 2 * pause);
    }

    void close() {
        closed = true;
        generation++;
        alarms.cancel(limit);
        client.close();
    }
}
