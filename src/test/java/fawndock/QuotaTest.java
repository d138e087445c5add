package fawndock;

import static fawndock.Rig.one;
import static fawndock.Rig.only;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import fawndock.Gatekeeper.Action;
import fawndock.Gatekeeper.Attempt;
import fawndock.Gatekeeper.Count;
import fawndock.Gatekeeper.Counted;
import fawndock.Gatekeeper.Outcome;
import fawndock.Gatekeeper.Refuse;
import fawndock.Gatekeeper.Repeat;
import fawndock.Gatekeeper.Result;
import fawndock.Gatekeeper.Wake;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

class QuotaTest {
    /** A counter that answers at once. */
    private final Map<String, Double> counter = new LinkedHashMap<>();
    private final Rig rig = new Rig(Rig.settings(Rig.ratePlan(1, 4), Repeat.IDEMPOTENT, true, true), "a", "b");

    private List<Action> serve(List<Action> actions) {
        return serve(rig, actions);
    }

    private List<Action> serve(Rig on, List<Action> actions) {
        List<Action> all = new ArrayList<>(actions);
        for (Count c : only(Count.class, actions)) {
            double total = counter.merge(c.name(), c.amount(), Double::sum);
            all.addAll(serve(on, on.on(new Counted(c.name(), Result.OK, total, 1_000))));
        }
        return all;
    }

    @Test
    void weighsTheWindowBeforeByWhatIsLeftOfIt() {
        assertEquals(10.0, Logic.estimate(10, 0, 0, 100));
        assertEquals(2.5 + 3, Logic.estimate(10, 3, 75, 100));
        assertEquals(3.0, Logic.estimate(-5, 3, 10, 100), "a count below nothing is no credit");
    }

    @Test
    void addsTheUnitsBeforeSending() {
        List<Action> asked = rig.request(1, 2);
        assertEquals(2.0, one(Count.class, asked).amount());
        assertTrue(only(Attempt.class, asked).isEmpty());
        assertEquals(1, only(Attempt.class, serve(asked)).size());
    }

    @Test
    void refusesBeyondTheStoreAndTakesTheAddBack() {
        for (long id = 1; id <= 4; id++) {
            assertEquals(1, only(Attempt.class, serve(rig.request(id))).size());
        }
        List<Action> fifth = serve(rig.request(5));
        assertEquals(0, only(Attempt.class, fifth).size());
        assertEquals(4 * Rig.SECOND, one(Refuse.class, fifth).retryAfterMicros(), "seconds left in the window");
        assertEquals(4.0, counter.values().stream().mapToDouble(v -> v).sum());
    }

    @Test
    void grantsWhatTheRefilledStoreHoldsThoughTheEstimateRefuses() {
        for (long id = 1; id <= 5; id++) {
            for (Attempt a : only(Attempt.class, serve(rig.request(id)))) {
                rig.outcome(id, 0, a.server(), Result.OK, true);
            }
        }
        rig.now += Rig.SECOND + Rig.SECOND / 2;
        assertEquals(1, only(Attempt.class, serve(rig.request(6))).size());
        assertEquals(1, only(Refuse.class, serve(rig.request(7))).size(), "one unit has come in, not two");
    }

    @Test
    void aPeersUseCounts() {
        String name = one(Count.class, rig.request(1)).name();
        counter.put(name, 5.0);
        List<Action> told = new ArrayList<>(serve(rig.on(new Counted(name, Result.OK, 5.0, 1_000))));
        assertEquals(1, only(Refuse.class, told).size());
    }

    @Test
    void admitsWhenTheCounterRefusesOrStaysSilent() {
        String name = one(Count.class, rig.request(1)).name();
        assertEquals(1, only(Attempt.class, rig.on(new Counted(name, Result.CONNECT_FAILED, 0, 500))).size());
        rig.request(2);
        assertEquals(1, only(Attempt.class, rig.on(new Wake("ask:2"))).size());
    }

    @Test
    void carriesASurelyFailedAddForward() {
        String name = one(Count.class, rig.request(1)).name();
        rig.on(new Counted(name, Result.SHED, 0, 500));
        assertEquals(2.0, one(Count.class, rig.request(2)).amount());
        rig.on(new Counted(name, Result.TIMEOUT, 0, 50_000));
        assertEquals(1.0, one(Count.class, rig.request(3)).amount(), "a lost answer may have been added");
    }

    @Test
    void putsItsOwnPartBackWhenTheCountWasLost() {
        serve(rig.request(1));
        serve(rig.request(2));
        counter.clear();
        List<Action> third = serve(rig.request(3));
        assertTrue(only(Count.class, third).stream().anyMatch(c -> c.amount() == 2.0), third.toString());
        assertEquals(3.0, counter.values().stream().mapToDouble(v -> v).sum());
    }

    @Test
    void aKnownRefusalOnlyReads() {
        for (long id = 1; id <= 5; id++) {
            serve(rig.request(id));
        }
        assertEquals(0.0, one(Count.class, rig.request(6)).amount());
    }

    @Test
    void aCrowdedCounterIsNotAskedAboutAProvenRefusal() {
        for (long id = 1; id <= 5; id++) {
            serve(rig.request(id));
        }
        for (long id = 6; id <= 8; id++) {
            String name = one(Count.class, rig.request(id)).name();
            rig.on(new Counted(name, Result.SHED, 0, 500));
        }
        List<Action> refused = rig.request(9);
        assertTrue(only(Count.class, refused).isEmpty());
        assertEquals(1, only(Refuse.class, refused).size());
    }

    @Test
    void aCrowdedCounterLeavesEachGatekeeperItsPart() {
        int sent = 0;
        for (long id = 1; id <= 12; id++) {
            String name = one(Count.class, rig.request(id)).name();
            sent += only(Attempt.class, rig.on(new Counted(name, Result.SHED, 0, 500))).size();
        }
        assertEquals(3, sent, "freely while it may be chance, then up to half of the store of four");
    }

    @Test
    void aRequestIsNotHeldInAStandingQueue() {
        Rig none = new Rig(Rig.settings(Rig.ratePlan(0, 0), Repeat.IDEMPOTENT, false, false));
        none.request(1);
        none.now += Rig.SECOND / 4;
        assertEquals(1, only(Refuse.class, none.on(new Wake("hold:1"))).size());
    }

    @Test
    void aSilentCounterIsStillAskedButNotWaitedFor() {
        for (long id = 1; id <= 4; id++) {
            String name = one(Count.class, rig.request(id)).name();
            rig.now += 50_000;
            rig.on(new Counted(name, Result.TIMEOUT, 0, 50_000));
        }
        List<Action> next = rig.request(5);
        assertEquals(1, only(Count.class, next).size());
        assertEquals(1, only(Attempt.class, next).size());
    }

    @Test
    void settlesTheTrueUnits() {
        Attempt sent = one(Attempt.class, serve(rig.request(1, 2)));
        List<Action> ended = rig.on(new Outcome(1, 0, sent.server(), 100_000, Result.OK, true, 3.5, Map.of()));
        assertEquals(1.5, one(Count.class, ended).amount());
    }

    @Test
    void gaugesOpenAttemptsAndGivesThemBack() {
        Rig open = new Rig(Rig.settings(Rig.openPlan(2), Repeat.IDEMPOTENT, true, false), "a", "b");
        Attempt first = one(Attempt.class, serve(open, open.request(1)));
        serve(open, open.request(2));
        assertEquals(1, only(Refuse.class, serve(open, open.request(3))).size());
        serve(open, open.outcome(1, 0, first.server(), Result.OK, true));
        assertEquals(1, only(Attempt.class, serve(open, open.request(4))).size());
        assertEquals(2.0, counter.values().stream().mapToDouble(v -> v).sum());
    }

    @Test
    void holdsTheCeilingWithAndWithoutTheCounter() {
        Rig ceiling = new Rig(Rig.settings(Rig.ceilingPlan(2, 4), Repeat.IDEMPOTENT, true, false), "a", "b");
        int sent = 0;
        for (long id = 1; id <= 10; id++) {
            sent += only(Attempt.class, serve(ceiling, ceiling.request(id))).size();
        }
        assertEquals(4, sent);
        int silent = 0;
        for (long id = 11; id <= 30; id++) {
            List<Action> actions = new ArrayList<>(ceiling.request(id));
            ceiling.now += 100_000;
            for (Count c : only(Count.class, actions)) {
                actions.addAll(ceiling.on(new Counted(c.name(), Result.CONNECT_FAILED, 0, 500)));
            }
            silent += only(Attempt.class, actions).size();
        }
        assertTrue(silent <= 2, "half the rate for two seconds is two units, not " + silent);
    }

    @Test
    void aRequestNeverSentTakesItsLateAddBack() {
        List<Action> asked = rig.request(1);
        rig.on(new Gatekeeper.Gone(1));
        serve(asked);
        assertEquals(0.0, counter.values().stream().mapToDouble(v -> v).sum());
        assertFalse(counter.isEmpty());
    }

    @Test
    void windowsHaveNamesOfTheirOwn() {
        String first = one(Count.class, rig.request(1)).name();
        rig.now += 4 * Rig.SECOND;
        assertNotEquals(first, only(Count.class, rig.request(2)).get(0).name());
    }
}
