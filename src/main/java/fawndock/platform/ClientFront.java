package fawndock.platform;

import fawndock.host.Alarms;
import fawndock.host.GatekeeperHost;
import fawndock.settings.Address;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * Where clients connect. Connections are bounded: when they are spent, one that never said anything makes room first,
 * then the one that has had nothing open for longest; one with a request open never does. One context.
 */
final class ClientFront {
    /** A connection that says nothing, stops within a command, or was told to go is closed after this. */
    static final long SILENT_MICROS = 2_000_000;
    /** One whose answers are not read is closed after this. */
    static final long UNREAD_MICROS = 4_000_000;
    private static final long IDLE_MICROS = 20_000_000;
    /** Nothing open for this long, a connection may be closed without harm to its client. */
    private static final long MAY_CLOSE_MICROS = 2_000_000;
    private static final long CHECK_MICROS = 250_000;
    private final Sockets sockets;
    private final GatekeeperHost host;
    private final ClientCommand.Terms terms;
    private final int mostConnections;
    private final int mostOpen;
    private final long mostBytes;
    private final Set<ClientConnection> connections = new LinkedHashSet<>();
    private final Set<String> ids = new HashSet<>();
    private Channel server;
    private long bytes;
    private boolean closing;
    private Alarms.Alarm next;

    /**
     * A front that does not listen yet.
     *
     * @param mostConnections at once
     * @param mostOpen requests at once
     * @param mostBytes of commands that are open, all together
     */
    ClientFront(Sockets sockets, GatekeeperHost host, ClientCommand.Terms terms, int mostConnections, int mostOpen,
                long mostBytes) {
        this.sockets = sockets;
        this.host = host;
        this.terms = terms;
        this.mostConnections = mostConnections;
        this.mostOpen = mostOpen;
        this.mostBytes = mostBytes;
    }

    /** Listens; the future fails when that cannot be. */
    ChannelFuture listen(Address address) {
        next = host.alarms().after(CHECK_MICROS, this::check);
        ChannelFuture bound = sockets.listen(address, () -> new ClientConnection(this));
        server = bound.channel();
        return bound;
    }

    void accepted(ClientConnection connection) {
        if (connections.size() >= mostConnections && !evict()) {
            connection.close();
        } else {
            connections.add(connection);
        }
    }

    private boolean evict() {
        ClientConnection idle = null;
        for (ClientConnection each : connections) {
            if (!each.spoke() && !each.busy()) {
                each.end();
                return true;
            }
            if (idle == null && each.quiet(now(), MAY_CLOSE_MICROS)) {
                idle = each;
            }
        }
        if (idle != null) {
            idle.end();
        }
        return idle != null;
    }

    private void check() {
        long now = now();
        List.copyOf(connections).forEach(c -> c.check(now));
        next = host.alarms().after(CHECK_MICROS, this::check);
    }

    /** How long a connection may have nothing open: shorter as they grow scarce. */
    long idleMicros() {
        return 2 * connections.size() > mostConnections ? MAY_CLOSE_MICROS : IDLE_MICROS;
    }

    /** Why a command cannot be given to the host, as an error line, or null. */
    String unfit(ClientCommand command) {
        if (ids.contains(command.id())) {
            return "ERR the id is open already";
        }
        return ids.size() >= mostOpen || bytes + command.size() > mostBytes ? "BUSY" : null;
    }

    /** Gives a request to the host; returns the host's number. */
    long request(PlatformExchange exchange) {
        ids.add(exchange.command().id());
        bytes += exchange.command().size();
        return host.request(exchange);
    }

    /** A request has had its answer, or its client has left. */
    void over(PlatformExchange exchange) {
        if (ids.remove(exchange.command().id())) {
            bytes -= exchange.command().size();
        }
    }

    void gone(long id) {
        host.gone(id);
    }

    void left(ClientConnection connection) {
        connections.remove(connection);
    }

    /** Connections close from now on as soon as nothing is open on them; new ones are still taken. */
    void closeQuiet() {
        closing = true;
        List.copyOf(connections).forEach(ClientConnection::endIfQuiet);
    }

    /** Ends all that is open as failed. */
    void failOpen() {
        List.copyOf(connections).forEach(ClientConnection::failOpen);
    }

    boolean closing() {
        return closing;
    }

    void stopListening() {
        if (server != null) {
            server.close();
        }
    }

    void close() {
        host.alarms().cancel(next);
        List.copyOf(connections).forEach(ClientConnection::end);
        stopListening();
    }

    ClientCommand.Terms terms() {
        return terms;
    }

    long now() {
        return host.clock().now();
    }

    int connections() {
        return connections.size();
    }
}
