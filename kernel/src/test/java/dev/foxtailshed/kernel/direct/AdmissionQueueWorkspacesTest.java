package dev.foxtailshed.kernel.direct;

import static org.assertj.core.api.Assertions.assertThat;

import dev.foxtailshed.kernel.direct.AdmissionQueue.Claim;
import dev.foxtailshed.kernel.direct.AdmissionQueue.Enqueued;
import dev.foxtailshed.kernel.direct.AdmissionQueue.Waiter;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Tests how workspaces share the capacity that an entry gets, and who is rejected. */
class AdmissionQueueWorkspacesTest {

    private static final long GRANT_INTERVAL_MILLIS = 200;
    private static final long FAR_MILLIS = 1_000_000;
    private static final long TOKENS = 3_000;

    private final AdmissionQueue<String> queue = new AdmissionQueue<>();

    private static Claim claim(String workspace, int priority, long giveUpMillis) {
        return new Claim(Optional.of(workspace), priority, false, giveUpMillis, TOKENS);
    }

    private Waiter<String> add(String item, String workspace, long tokens) {
        Claim claim = new Claim(Optional.of(workspace), 1, false, FAR_MILLIS, tokens);
        return queue.enqueue(item, claim, 0).waiter().orElseThrow();
    }

    private String serve(long nowMillis) {
        Waiter<String> first = queue.peek().orElseThrow();
        queue.take(first);
        queue.recordGrant(nowMillis);
        return first.item();
    }

    private List<String> serveAll() {
        List<String> order = new ArrayList<>();
        while (queue.peek().isPresent()) {
            order.add(serve(0));
        }
        return order;
    }

    /** Lets the queue learn the interval between grants; returns the time of the last one. */
    private long learnInterval() {
        long now = 0;
        for (int i = 0; i < 100; i++) {
            now += GRANT_INTERVAL_MILLIS;
            queue.enqueue("x", claim("other", 1, now + 10_000), now);
            serve(now);
        }
        return now;
    }

    /** A workspace that sends first and most must not be served first and most. */
    @Test
    void workspacesTakeTurnsWhateverTheySend() {
        add("a1", "a", TOKENS);
        add("a2", "a", TOKENS);
        add("a3", "a", TOKENS);
        add("b1", "b", TOKENS);
        add("c1", "c", TOKENS);
        add("c2", "c", TOKENS);

        assertThat(serveAll()).containsExactly("a1", "b1", "c1", "a2", "c2", "a3");
    }

    /** Sharing by requests would give most of the capacity to the workspace with long prompts. */
    @Test
    void workspacesShareTokens() {
        for (int i = 1; i <= 4; i++) {
            add("large" + i, "a", 6_000);
        }
        for (int i = 1; i <= 8; i++) {
            add("small" + i, "b", 2_000);
        }

        assertThat(serveAll().subList(0, 8)).filteredOn(item -> item.startsWith("l")).hasSize(2);
    }

    /** Otherwise a workspace could save its share and then block all others. */
    @Test
    void idlenessEarnsNothing() {
        add("b0", "b", TOKENS);
        for (int i = 0; i < 50; i++) {
            add("a", "a", TOKENS);
        }
        for (int i = 0; i < 40; i++) {
            serve(0);
        }
        for (int i = 1; i <= 5; i++) {
            add("b" + i, "b", TOKENS);
        }

        List<String> order = serveAll();
        assertThat(order.subList(0, 6)).containsOnlyOnce("b1", "b2", "b3").doesNotContain("b4");
    }

    /** Otherwise the first to come back would get what a waiting workspace waits for. */
    @Test
    void workspaceThatReturnsAtOnceComesAfterTheOthers() {
        add("a1", "a", TOKENS);
        add("b1", "b", TOKENS);
        add("b2", "b", TOKENS);
        assertThat(serve(0)).isEqualTo("a1");
        add("a2", "a", TOKENS);
        assertThat(serve(0)).isEqualTo("b1");
        add("b3", "b", TOKENS);

        assertThat(serveAll()).containsExactly("b2", "a2", "b3");
    }

    /** Calls in flight must not all be those of one workspace. */
    @Test
    void requestsInFlightCount() {
        add("a1", "a", TOKENS);
        add("a2", "a", TOKENS);
        add("b1", "b", TOKENS);
        Waiter<String> first = queue.peek().orElseThrow();
        queue.take(first);
        assertThat(queue.peek().map(Waiter::item)).contains("b1");
        queue.requeue(first);

        assertThat(serveAll()).containsExactly("a1", "b1", "a2");
    }

    /** A workspace whose requests are cancelled or expire has got nothing for them. */
    @Test
    void unservedRequestsDoNotCount() {
        Waiter<String> cancelled = add("a1", "a", TOKENS);
        queue.enqueue("a2", claim("a", 1, 500), 0);
        Waiter<String> cancelledInFlight = add("a3", "a", TOKENS);
        add("a4", "a", TOKENS);
        add("b1", "b", TOKENS);
        add("b2", "b", TOKENS);
        assertThat(queue.remove(cancelled)).isTrue();
        assertThat(queue.remove(cancelled)).isFalse();
        assertThat(queue.removeExpired(500)).containsExactly("a2");
        queue.take(cancelledInFlight);
        queue.remove(cancelledInFlight);

        assertThat(serveAll()).containsExactly("a4", "b1", "b2");
    }

    @Test
    void urgencyAndTimelinessGoBeforeShares() {
        queue.enqueue("late", new Claim(Optional.of("c"), 0, true, FAR_MILLIS, TOKENS), 0);
        queue.enqueue("patient", claim("b", 1, FAR_MILLIS), 0);
        queue.enqueue("urgent1", claim("a", 0, FAR_MILLIS), 0);
        queue.enqueue("urgent2", claim("a", 0, FAR_MILLIS), 0);

        assertThat(serveAll()).containsExactly("urgent1", "urgent2", "patient", "late");
    }

    /** Callers of public routes have no workspace, and must not get more than workspaces do. */
    @Test
    void requestsWithoutWorkspaceShareAsOneWorkspace() {
        Claim withoutWorkspace = new Claim(Optional.empty(), 1, false, FAR_MILLIS, TOKENS);
        queue.enqueue("1", withoutWorkspace, 0);
        queue.enqueue("2", withoutWorkspace, 0);
        queue.enqueue("3", withoutWorkspace, 0);
        add("a1", "a", TOKENS);
        add("a2", "a", TOKENS);

        assertThat(serveAll()).containsExactly("1", "a1", "2", "a2", "3");
    }

    /** A request that waits for what it cannot get keeps its caller from trying elsewhere. */
    @Test
    void requestsOfCrowdingWorkspaceAreRejectedInFavorOfOthers() {
        long now = learnInterval();
        for (int i = 1; i <= 3; i++) {
            Enqueued<String> crowding = queue.enqueue("a" + i, claim("a", 1, now + 410), now);
            assertThat(crowding.waiter()).isPresent();
        }

        Enqueued<String> enqueued = queue.enqueue("b1", claim("b", 1, now + 410), now);

        assertThat(enqueued.waiter()).isPresent();
        // The fourth request would wait for three grants, in 600 ms.
        assertThat(enqueued.rejected()).containsExactly("a3");
        assertThat(serveAll()).containsExactly("a1", "b1", "a2");
    }

    @Test
    void arrivalBehindItsShareIsRejectedItself() {
        long now = learnInterval();
        queue.enqueue("a1", claim("a", 1, now + 450), now);
        queue.enqueue("b1", claim("b", 1, now + 450), now);
        queue.enqueue("a2", claim("a", 1, now + 450), now);

        Enqueued<String> enqueued = queue.enqueue("a3", claim("a", 1, now + 450), now);

        assertThat(enqueued.waiter()).isEmpty();
        assertThat(enqueued.rejected()).isEmpty();
        assertThat(queue.size()).isEqualTo(3);
    }

    /** Requests that will expire take no time from those behind them. */
    @Test
    void requestThatCanStillBeServedIsKept() {
        long now = learnInterval();
        queue.enqueue("a1", claim("a", 1, now + 900), now);
        queue.enqueue("a2", claim("a", 1, now + 150), now - 100);
        queue.enqueue("a3", claim("a", 1, now + 350), now);

        Enqueued<String> enqueued = queue.enqueue("b1", claim("b", 1, now + 900), now);

        assertThat(enqueued.rejected()).containsExactly("a2");
        assertThat(serveAll()).containsExactly("a1", "b1", "a3");
    }

    /** Without turns, the patient workspace would wait for as long as urgent requests come. */
    @Test
    void lessUrgentRequestsGetMoreThanQuarterOfTheRate() {
        int arrived = 0;
        int served = 0;
        int patientServed = 0;
        long now = 0;
        for (int i = 0; i < 4_000; i++) {
            now += GRANT_INTERVAL_MILLIS / 2;
            queue.enqueue("urgent", claim("a", 0, now + 450), now);
            queue.enqueue("patient", claim("b", 1, now + 1_500), now);
            arrived += 2;
            queue.removeExpired(now);
            if (i % 2 == 0) {
                served++;
                patientServed += serve(now).equals("patient") ? 1 : 0;
            }
        }

        double rate = (double) served / arrived;
        double patientRate = patientServed / (arrived / 2.0);
        assertThat(patientRate).isGreaterThan(0.25 * rate).isLessThan(0.5 * rate);
    }

    /** Turns where nobody starves would delay urgent requests for nothing. */
    @Test
    void thereAreNoTurnsWhileAllAreServedWell() {
        long now = 0;
        for (int i = 0; i < 1_000; i++) {
            now += GRANT_INTERVAL_MILLIS;
            queue.enqueue("patient", claim("b", 1, now + 10_000), now);
            queue.enqueue("urgent", claim("a", 0, now + 10_000), now);

            assertThat(serve(now)).isEqualTo("urgent");
            assertThat(serve(now + GRANT_INTERVAL_MILLIS / 2)).isEqualTo("patient");
        }
    }

    /** An entry must not get more of a full pool because one of its workspaces sends more. */
    @Test
    void demandCountsWorkspacesAndUrgency() {
        Waiter<String> patient =
                queue.enqueue("a1", claim("a", 1, FAR_MILLIS), 0).waiter().orElseThrow();
        queue.take(patient);
        double alone = queue.demand(patient);
        queue.enqueue("a2", claim("a", 1, FAR_MILLIS), 0);
        assertThat(queue.demand(patient)).isEqualTo(alone);
        assertThat(queue.isYielding()).isTrue();
        queue.enqueue("b1", claim("b", 1, FAR_MILLIS), 0);
        assertThat(queue.demand(patient)).isEqualTo(2 * alone);

        queue.requeue(patient);
        Waiter<String> urgent =
                queue.enqueue("c1", claim("c", 0, FAR_MILLIS), 0).waiter().orElseThrow();
        assertThat(queue.isYielding()).isFalse();
        queue.take(urgent);
        assertThat(queue.demand(urgent)).isGreaterThan(queue.demand(patient));
    }

    /** The state of workspaces that have left must not grow with time, nor change the order. */
    @Test
    void workspacesAreForgottenWhenIdle() {
        for (int i = 0; i < 100; i++) {
            queue.enqueue("x", claim("workspace" + i, 1, 1_000), 0);
            serve(0);
        }
        Claim withoutWorkspace = new Claim(Optional.empty(), 1, false, FAR_MILLIS, TOKENS);
        long later = 60_000;
        Waiter<String> first = queue.enqueue("1", withoutWorkspace, later).waiter().orElseThrow();
        queue.enqueue("2", withoutWorkspace, later);
        queue.enqueue("3", withoutWorkspace, later);
        queue.take(first);

        assertThat(queue.isYielding()).isFalse();
        assertThat(queue.demand(first)).isEqualTo(3);
    }
}
