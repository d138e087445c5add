package fawndock.lab.emu;

import fawndock.Gatekeeper.Availability;
import java.util.function.Consumer;

/** Troubles that can be put together at will; each begins at a second of a run and most end at another. */
public final class Troubles {
    private Troubles() {
    }

    private static void during(Emulation in, double from, double to, Consumer<Emulation> on, Consumer<Emulation> off) {
        in.at(from, on).at(to, off);
    }

    /** Nothing reaches the counter, and nothing comes from it. */
    public static void counterSilent(Emulation in, double from, double to) {
        during(in, from, to, e -> {
            e.network.cut.add("*>counter");
            e.network.cut.add("counter>*");
        }, e -> {
            e.network.cut.remove("*>counter");
            e.network.cut.remove("counter>*");
        });
    }

    /** The counter dies and comes back, with what it had or with nothing. */
    public static void counterDies(Emulation in, double from, double to, boolean empty) {
        during(in, from, to, e -> e.counter.up(false), e -> {
            if (empty) {
                e.counter.lose();
            }
            e.counter.up(true);
        });
    }

    /** Some gatekeepers, from the first on, are cut off from the counter. */
    public static void counterSplit(Emulation in, double from, double to, int gatekeepers) {
        during(in, from, to, e -> {
            for (int i = 0; i < gatekeepers; i++) {
                e.network.cut.add("g" + i + ">counter");
            }
        }, e -> {
            for (int i = 0; i < gatekeepers; i++) {
                e.network.cut.remove("g" + i + ">counter");
            }
        });
    }

    /** A worker's work takes so many times as long. */
    public static void slow(Emulation in, double from, double to, String worker, double times) {
        during(in, from, to, e -> e.worker(worker).slow = times, e -> e.worker(worker).slow = 1);
    }

    /** A worker takes attempts and says nothing. */
    public static void silent(Emulation in, double from, double to, String worker) {
        during(in, from, to, e -> e.worker(worker).silent = true, e -> e.worker(worker).silent = false);
    }

    /** A worker does its work and loses this share of its answers. */
    public static void losesAnswers(Emulation in, double from, double to, String worker, double share) {
        during(in, from, to, e -> e.worker(worker).loses = share, e -> e.worker(worker).loses = 0);
    }

    /** A worker dies, is taken off the roster, and comes back cold. */
    public static void dies(Emulation in, double from, double to, String worker) {
        during(in, from, to, e -> {
            e.worker(worker).die();
            e.list(worker, Availability.DELETED);
        }, e -> {
            e.worker(worker).start(true);
            e.list(worker, Availability.RUNNING);
        });
    }

    /** All ways take so many times as long. */
    public static void networkSlow(Emulation in, double from, double to, double times) {
        during(in, from, to, e -> e.network.slow = times, e -> e.network.slow = 1);
    }
}
