package dev.foxtailshed.kernel.routing;

import dev.foxtailshed.kernel.SteppedTimerService;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** A simulation of the slots of two small pools, for comparing placement orders. */
final class PoolModel {

    static final int SERVERS = 3;
    static final int DECODE_SLOTS = 6;
    static final int PREFILL_SLOTS = 2;
    static final long EXPORT_MILLIS = 900;
    private static final int PIECES = 1_000;
    private static final Set<String> NONE = Set.of();

    final SteppedTimerService timer = new SteppedTimerService();
    private final Router prefillRouter;
    private final Router decodeRouter;
    private final int[] usedPrefill = new int[SERVERS];
    private final int[] usedDecode = new int[SERVERS];
    private final List<Runnable> waiting = new ArrayList<>();

    PoolModel(Router prefillRouter, Router decodeRouter) {
        this.prefillRouter = prefillRouter;
        this.decodeRouter = decodeRouter;
    }

    /** Reserves a slot and returns its server, or empty if the chosen server has no free slot. */
    Optional<Integer> reserve(boolean decode, long tokens) {
        int[] usedSlots = decode ? usedDecode : usedPrefill;
        int slots = decode ? DECODE_SLOTS : PREFILL_SLOTS;
        Router router = decode ? decodeRouter : prefillRouter;
        Demand demand = new Demand("a", 1, tokens, 0, Map.of(), NONE);
        return router.choose(views(usedSlots, slots), demand)
                .map(server -> Integer.parseInt(server.name()))
                .filter(server -> usedSlots[server] < slots)
                .map(
                        server -> {
                            usedSlots[server]++;
                            return server;
                        });
    }

    void release(boolean decode, int server) {
        int[] usedSlots = decode ? usedDecode : usedPrefill;
        usedSlots[server]--;
        if (usedSlots[server] < 0) {
            throw new IllegalStateException("a slot was released twice");
        }
        List<Runnable> retries = List.copyOf(waiting);
        waiting.clear();
        retries.forEach(Runnable::run);
    }

    void retryOnRelease(Runnable retry) {
        waiting.add(retry);
    }

    int usedSlots() {
        int sum = 0;
        for (int i = 0; i < SERVERS; i++) {
            sum += usedPrefill[i] + usedDecode[i];
        }
        return sum;
    }

    private static List<ServerView> views(int[] usedSlots, int slots) {
        List<ServerView> views = new ArrayList<>();
        for (int i = 0; i < SERVERS; i++) {
            int free = slots - usedSlots[i];
            views.add(new ServerView(Integer.toString(i), "a", true, free, PIECES, 0, 0, 1));
        }
        return views;
    }
}
