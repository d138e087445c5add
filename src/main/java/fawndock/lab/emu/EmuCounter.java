package fawndock.lab.emu;

import fawndock.counter.core.Amount;
import fawndock.counter.core.Changes;
import fawndock.counter.core.CountException;
import fawndock.counter.core.CountTable;
import fawndock.counter.core.Counts;
import java.nio.charset.StandardCharsets;
import java.util.function.DoubleConsumer;

/** The counter: the real table of counts behind a queue that takes so many calls a second. */
final class EmuCounter {
    private static final long QUEUE_MICROS = 1_000_000;
    private final Agenda agenda;
    private final double microsPerCall;
    private Counts counts = empty();
    private final Changes changes = new Changes(1 << 12);
    private long freeAt;
    private int life;
    private boolean up = true;
    long calls;

    EmuCounter(Agenda agenda, Deployment.Counter figures) {
        this.agenda = agenda;
        microsPerCall = 1e6 / figures.perSecond();
    }

    private static Counts empty() {
        return new Counts(new CountTable(1, 2), Long.MAX_VALUE);
    }

    /** A call has arrived; told its total once it was its turn, or never when the counter is down or crowded. */
    void add(String name, double amount, long keepMicros, DoubleConsumer total) {
        if (!up || freeAt - agenda.now() > QUEUE_MICROS) {
            return;
        }
        calls++;
        freeAt = Math.max(agenda.now(), freeAt) + (long) Math.ceil(microsPerCall);
        int mine = life;
        agenda.at(freeAt, () -> {
            if (mine == life) {
                total.accept(count(name, amount, keepMicros));
            }
        });
    }

    private double count(String name, double amount, long keepMicros) {
        try {
            changes.clear();
            return Double.parseDouble(counts.add(name.getBytes(StandardCharsets.UTF_8), Amount.of(Double.toString(amount)
                    .getBytes(StandardCharsets.US_ASCII)), Math.max(1, keepMicros / 1_000), agenda.now() / 1_000, changes)
                    .toString());
        } catch (CountException e) {
            throw new IllegalStateException("count of " + name, e);
        }
    }

    /** Dies, or comes back with what it had. */
    void up(boolean is) {
        up = is;
        life++;
        freeAt = agenda.now();
    }

    /** Loses all counts. */
    void lose() {
        counts = empty();
    }
}
