package dev.foxtailshed.daemon.internal.direct;

import dev.foxtailshed.kernel.suspects.RequestTrait;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.BiConsumer;

/**
 * Tells the other entries which traits are no longer suspected, after a short random time and
 * unless another entry tells them first. So a trait that many requests have is not announced by
 * each entry. Runs on the entry's loop.
 */
final class ClearanceAnnouncer {

    /** Longest time until the other entries are told; enough that one of them does so first. */
    private static final long MAXIMUM_DELAY_MILLIS = 200;

    private final DirectContext context;
    private final BiConsumer<List<RequestTrait>, Long> notices;
    private final List<Set<RequestTrait>> unannounced = new ArrayList<>();

    /**
     * Creates the announcer.
     *
     * @param context the shared dependencies
     * @param notices sends a notice of the traits and of the age in milliseconds of the answer that
     *     clears them
     */
    ClearanceAnnouncer(DirectContext context, BiConsumer<List<RequestTrait>, Long> notices) {
        this.context = context;
        this.notices = notices;
    }

    /**
     * Announces traits soon.
     *
     * @param traits the traits
     * @param answeredMillis the time of the answer that clears them
     */
    void announce(Collection<RequestTrait> traits, long answeredMillis) {
        Set<RequestTrait> cleared = new HashSet<>(traits);
        unannounced.add(cleared);
        long delayMillis = (long) (MAXIMUM_DELAY_MILLIS * context.random().getAsDouble());
        context.schedule(delayMillis, () -> send(cleared, answeredMillis));
    }

    private void send(Set<RequestTrait> cleared, long answeredMillis) {
        unannounced.removeIf(other -> other == cleared);
        if (!cleared.isEmpty()) {
            notices.accept(List.copyOf(cleared), context.timer().nowMillis() - answeredMillis);
        }
    }

    /** Leaves out traits that another entry has announced. */
    void onAnnounced(Collection<RequestTrait> traits) {
        unannounced.forEach(cleared -> traits.forEach(cleared::remove));
    }
}
