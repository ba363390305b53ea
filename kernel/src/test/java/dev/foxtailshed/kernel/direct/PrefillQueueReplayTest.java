package dev.foxtailshed.kernel.direct;

import static org.assertj.core.api.Assertions.assertThat;

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
 * Replays the loss of one of two prefill servers: four entries send a third more prompts than the
 * last one reads, for ten seconds, while decode capacity is free.
 *
 * <p>The baseline sends each prompt on as soon as it comes, and the server reads them in the order
 * of arrival. What counts is how many prompts are read within the objective.
 */
class PrefillQueueReplayTest {

    private static final int ENTRIES = 4;
    private static final long OBJECTIVE_MILLIS = 900;
    private static final long END_MILLIS = 10_000;
    private static final double ARRIVALS_PER_SECOND = 13;
    private static final double MILLIS_PER_TOKEN = 0.035;
    private static final long READ_MILLIS = 105;
    private static final long PROMPT_TOKENS = 3_000;

    private record Arrival(int entry, long millis) {}

    private record Reading(Arrival prompt, long endMillis) {}

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void morePromptsAreReadInTimeThanInTheOrderOfArrival(long seed) {
        List<Arrival> arrivals = arrivals(seed);
        int baseline = sentAtOnce(arrivals);
        int queued = queuedAtTheEntries(arrivals);

        assertThat(queued).isGreaterThan(baseline);
        // What the server reads in ten seconds, less those that came in the last half second.
        assertThat(queued).isGreaterThan((int) (0.85 * Math.min(arrivals.size(), capacity())));
    }

    private static long capacity() {
        return END_MILLIS / READ_MILLIS;
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

    private static int sentAtOnce(List<Arrival> arrivals) {
        long freeMillis = 0;
        int inTime = 0;
        for (Arrival arrival : arrivals) {
            freeMillis = Math.max(freeMillis, arrival.millis()) + READ_MILLIS;
            boolean counted = freeMillis < END_MILLIS;
            inTime += counted && freeMillis - arrival.millis() <= OBJECTIVE_MILLIS ? 1 : 0;
        }
        return inTime;
    }

    private static int queuedAtTheEntries(List<Arrival> arrivals) {
        DirectServer last = TestServers.model("p-1", Stage.PREFILL);
        ServerHealthRegistry board = new ServerHealthRegistry();
        long limit =
                new PrefillTokenLimit()
                        .tokensPerServer(OBJECTIVE_MILLIS, MILLIS_PER_TOKEN, ENTRIES);
        List<PrefillServerSelector> selectors = new ArrayList<>();
        List<AdmissionQueue<Arrival>> queues = new ArrayList<>();
        for (int i = 0; i < ENTRIES; i++) {
            selectors.add(new PrefillServerSelector("a", () -> MILLIS_PER_TOKEN, () -> 0.99));
            queues.add(new AdmissionQueue<>());
        }
        Deque<Arrival> coming = new ArrayDeque<>(arrivals);
        Deque<Reading> server = new ArrayDeque<>();
        long freeMillis = 0;
        int inTime = 0;
        for (long now = 0; now < END_MILLIS; now++) {
            while (!server.isEmpty() && server.peek().endMillis() <= now) {
                Arrival read = server.remove().prompt();
                selectors.get(read.entry()).recordEnd(last, PROMPT_TOKENS);
                inTime += now - read.millis() <= OBJECTIVE_MILLIS ? 1 : 0;
            }
            while (!coming.isEmpty() && coming.peek().millis() <= now) {
                Arrival next = coming.remove();
                // The last to be claimed has the others' prompts before it.
                long giveUp = next.millis() + OBJECTIVE_MILLIS - ENTRIES * READ_MILLIS;
                queues.get(next.entry()).enqueue(next, 1, false, giveUp, now);
            }
            for (int i = 0; i < ENTRIES; i++) {
                queues.get(i).removeExpired(now);
                Optional<Waiter<Arrival>> first = queues.get(i).peek();
                Prompt prompt = new Prompt(PROMPT_TOKENS, limit);
                if (first.isPresent()
                        && selectors
                                .get(i)
                                .claim(List.of(last), Set.of(), board, now, prompt)
                                .isPresent()) {
                    queues.get(i).remove(first.get());
                    queues.get(i).recordGrant(now);
                    freeMillis = Math.max(freeMillis, now) + READ_MILLIS;
                    server.add(new Reading(first.get().item(), freeMillis));
                }
            }
        }
        return inTime;
    }
}
