package fawndock.gateway;

import io.vertx.core.Vertx;
import java.util.PriorityQueue;

/**
 * The timers of one context: a queue by due time and one timer of Vert.x for the earliest. Guards against one
 * scheduled task of the event loop for each of the several timers of each request. Cancelled alarms are swept out
 * when they are the greater part, so the queue is bounded by twice the alarms that are pending.
 */
final class Alarms {
    private static final int SWEEP_ABOVE = 1024;

    /** One alarm; it rings once, unless cancelled before. */
    static final class Alarm implements Comparable<Alarm> {
        private final long dueNanos;
        private final long order;
        private Runnable what;

        Alarm(long dueNanos, long order, Runnable what) {
            this.dueNanos = dueNanos;
            this.order = order;
            this.what = what;
        }

        @Override
        public int compareTo(Alarm other) {
            int byDue = Long.compare(dueNanos - other.dueNanos, 0);
            return byDue != 0 ? byDue : Long.compare(order, other.order);
        }
    }

    private final Vertx vertx;
    private final PriorityQueue<Alarm> queue = new PriorityQueue<>();
    private long orders;
    private int cancelled;
    private long timer = -1;
    private long timerDue;
    private boolean ringing;

    Alarms(Vertx vertx) {
        this.vertx = vertx;
    }

    /** Runs something after at least so many microseconds, on the context that asks. */
    Alarm after(long micros, Runnable what) {
        Alarm alarm = new Alarm(System.nanoTime() + Math.max(0, micros) * 1_000, orders++, what);
        queue.add(alarm);
        if (!ringing) {
            arm();
        }
        return alarm;
    }

    void cancel(Alarm alarm) {
        if (alarm == null || alarm.what == null) {
            return;
        }
        alarm.what = null;
        cancelled++;
        if (cancelled > SWEEP_ABOVE && cancelled > queue.size() / 2) {
            queue.removeIf(each -> each.what == null);
            cancelled = 0;
        }
    }

    int pending() {
        return queue.size() - cancelled;
    }

    void close() {
        queue.clear();
        cancelled = 0;
        if (timer >= 0) {
            vertx.cancelTimer(timer);
            timer = -1;
        }
    }

    private void arm() {
        Alarm first = queue.peek();
        if (first == null || timer >= 0 && timerDue - first.dueNanos <= 0) {
            return;
        }
        if (timer >= 0) {
            vertx.cancelTimer(timer);
        }
        timerDue = first.dueNanos;
        timer = vertx.setTimer(Math.max(1, (first.dueNanos - System.nanoTime() + 999_999) / 1_000_000), id -> ring());
    }

    private void ring() {
        timer = -1;
        ringing = true;
        try {
            long now = System.nanoTime();
            for (Alarm first = queue.peek(); first != null && first.dueNanos - now <= 0; first = queue.peek()) {
                queue.remove();
                Runnable what = first.what;
                first.what = null;
                if (what == null) {
                    cancelled = Math.max(0, cancelled - 1);
                } else {
                    what.run();
                }
            }
        } finally {
            ringing = false;
            arm();
        }
    }
}
