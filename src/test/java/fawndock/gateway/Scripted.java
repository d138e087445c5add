package fawndock.gateway;

import fawndock.Gatekeeper;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.BiFunction;
import java.util.function.Predicate;

/** A gatekeeper that does what a test says and remembers what it was told. */
final class Scripted implements Gatekeeper {
  private final List<Event> events = new ArrayList<>();
  private volatile BiFunction<Long, Event, List<Action>> script = Scripted::sendOnce;

  /** Sends each request to the server "w" once, and fails it when that did not serve it. */
  static List<Action> sendOnce(long now, Event event) {
    if (event instanceof Request r) {
      return List.of(new Attempt(r.id(), "w", r.giveUpAtMicros()));
    }
    if (event instanceof Outcome o && !o.over()) {
      return List.of(new Fail(o.requestId()));
    }
    return List.of();
  }

  Scripted doing(BiFunction<Long, Event, List<Action>> what) {
    script = what;
    return this;
  }

  @Override
  public List<Action> on(long nowMicros, Event event) {
    List<Action> actions = script.apply(nowMicros, event);
    synchronized (events) {
      events.add(event);
      events.notifyAll();
    }
    return actions;
  }

  synchronized <T extends Event> List<T> all(Class<T> type) {
    synchronized (events) {
      return events.stream().filter(type::isInstance).map(type::cast).toList();
    }
  }

  /** Waits for an event that is already there or still comes. */
  <T extends Event> T await(Class<T> type, Predicate<T> which) {
    long limit = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
    synchronized (events) {
      while (true) {
        for (Event e : events) {
          if (type.isInstance(e) && which.test(type.cast(e))) {
            return type.cast(e);
          }
        }
        long left = limit - System.nanoTime();
        if (left <= 0) {
          throw new AssertionError(
              "never told such a " + type.getSimpleName() + "; told: " + events);
        }
        try {
          TimeUnit.NANOSECONDS.timedWait(events, left);
        } catch (InterruptedException e) {
          throw new AssertionError(e);
        }
      }
    }
  }

  <T extends Event> T await(Class<T> type) {
    return await(type, e -> true);
  }
}
