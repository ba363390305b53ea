package dev.foxtailshed.kernel.direct;

import static org.assertj.core.api.Assertions.assertThat;

import dev.foxtailshed.kernel.direct.AdmissionQueue.Claim;
import dev.foxtailshed.kernel.direct.AdmissionQueue.Waiter;
import dev.foxtailshed.kernel.direct.DirectServer.Stage;
import dev.foxtailshed.kernel.direct.PrefillServerSelector.Prompt;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Simulates the loss of one of two prefill servers: for ten seconds, four entries send a third more
 * prompts than the remaining server can process, while decode capacity is free.
 *
 * <p>If each prompt is sent on as soon as it arrives, which is the baseline, the server processes
 * them in order of arrival and makes them late. The test compares how many prompts are processed
 * within the objective if the entries queue them.
 */
class PrefillQueueReplayTest {

    private static final int ENTRIES = 4;
    private static final long OBJECTIVE_MILLIS = 900;
    private static final long END_MILLIS = 10_000;
    private static final double ARRIVALS_PER_SECOND = 13;
    private static final double MILLIS_PER_TOKEN = 0.035;
    private static final long PREFILL_MILLIS = 105;
    private static final long PROMPT_TOKENS = 3_000;

    private record Arrival(int entry, long millis) {}

    private record PrefillTask(Arrival prompt, long endMillis) {}

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void queuesAtEntriesMeetMoreObjectivesThanImmediateSending(long seed) {
        List<Arrival> arrivals = arrivals(seed);
        int baseline = simulateImmediateSending(arrivals);
        int queued = simulateQueuesAtEntries(arrivals);

        assertThat(queued).isGreaterThan(baseline);
        // What the server can process in ten seconds, less the prompts of the last half second.
        assertThat(queued)
                .isGreaterThan((int) (0.85 * Math.min(arrivals.size(), serverCapacity())));
    }

    private static long serverCapacity() {
        return END_MILLIS / PREFILL_MILLIS;
    }

    private static List<Arrival> arrivals(long seed) {
        Random random = new Random(seed);
        List<Arrival> all = new ArrayList<>();
        double now = 0;
        while (now < END_MILLIS) {
            now += -Math.log(1 - random.nextDouble()) * 1_000 / ARRIVALS_PER_SECOND;
            all.add(new Arrival(random.nextInt(ENTRIES), (long) now));
        }
        return all;
    }

    private static int simulateImmediateSending(List<Arrival> arrivals) {
        long freeMillis = 0;
        int inTime = 0;
        for (Arrival arrival : arrivals) {
            freeMillis = Math.max(freeMillis, arrival.millis()) + PREFILL_MILLIS;
            boolean counted = freeMillis < END_MILLIS;
            inTime += counted && freeMillis - arrival.millis() <= OBJECTIVE_MILLIS ? 1 : 0;
        }
        return inTime;
    }

    private static int simulateQueuesAtEntries(List<Arrival> arrivals) {
        DirectServer server = TestServers.model("p-1", Stage.PREFILL);
        ServerHealthRegistry healthRegistry = new ServerHealthRegistry();
        long limitTokens =
                new PrefillTokenLimit()
                        .tokensPerServer(OBJECTIVE_MILLIS, MILLIS_PER_TOKEN, ENTRIES);
        List<PrefillServerSelector> selectors = new ArrayList<>();
        List<AdmissionQueue<Arrival>> queues = new ArrayList<>();
        for (int i = 0; i < ENTRIES; i++) {
            selectors.add(new PrefillServerSelector("a", () -> MILLIS_PER_TOKEN, () -> 0.99));
            queues.add(new AdmissionQueue<>());
        }
        Deque<Arrival> upcoming = new ArrayDeque<>(arrivals);
        Deque<PrefillTask> serverQueue = new ArrayDeque<>();
        long freeMillis = 0;
        int inTime = 0;
        for (long now = 0; now < END_MILLIS; now++) {
            while (!serverQueue.isEmpty() && serverQueue.peek().endMillis() <= now) {
                Arrival finished = serverQueue.remove().prompt();
                selectors.get(finished.entry()).recordEnd(server, PROMPT_TOKENS);
                inTime += now - finished.millis() <= OBJECTIVE_MILLIS ? 1 : 0;
            }
            while (!upcoming.isEmpty() && upcoming.peek().millis() <= now) {
                Arrival next = upcoming.remove();
                // The last prompt to be claimed is processed after those of the other entries.
                long giveUpMillis = next.millis() + OBJECTIVE_MILLIS - ENTRIES * PREFILL_MILLIS;
                Claim claim = new Claim(Optional.empty(), 1, false, giveUpMillis, PROMPT_TOKENS);
                queues.get(next.entry()).enqueue(next, claim, now);
            }
            for (int i = 0; i < ENTRIES; i++) {
                queues.get(i).removeExpired(now);
                Optional<Waiter<Arrival>> first = queues.get(i).peek();
                Prompt prompt = new Prompt(PROMPT_TOKENS, limitTokens);
                if (first.isPresent()
                        && selectors
                                .get(i)
                                .claim(List.of(server), Set.of(), healthRegistry, now, prompt)
                                .isPresent()) {
                    queues.get(i).remove(first.get());
                    queues.get(i).recordGrant(now);
                    freeMillis = Math.max(freeMillis, now) + PREFILL_MILLIS;
                    serverQueue.add(new PrefillTask(first.get().item(), freeMillis));
                }
            }
        }
        return inTime;
    }
}
