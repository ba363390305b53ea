package dev.foxtailshed.standins.internal.engine;

import dev.foxtailshed.standins.EngineSettings;
import dev.foxtailshed.standins.internal.http.LaggedValue;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;

/**
 * The admitted requests of an engine and the slots and pieces that they hold.
 *
 * <p>Not thread-safe; guarded by the lock of the engine.
 */
final class AdmittedRequests {

    private static final Comparator<EngineRequest> BY_PRIORITY =
            Comparator.<EngineRequest>comparingInt(r -> r.completionRequest.priority())
                    .thenComparingLong(r -> r.sequence);

    private final EngineSettings settings;
    private final Set<EngineRequest> requests = new LinkedHashSet<>();
    private final LaggedValue<EngineReplies.Load> load;
    private int heldSlots;
    private int heldPieces;

    AdmittedRequests(EngineSettings settings) {
        this.settings = settings;
        load =
                new LaggedValue<>(
                        new EngineReplies.Load(settings.requestSlots, settings.kvPieces, 0));
    }

    boolean add(EngineRequest request) {
        if (heldSlots == settings.requestSlots || heldPieces + request.pieces > settings.kvPieces) {
            return false;
        }
        heldSlots++;
        heldPieces += request.pieces;
        requests.add(request);
        recordLoad();
        return true;
    }

    void remove(EngineRequest request) {
        if (requests.remove(request)) {
            heldSlots -= request.holdsSlot() ? 1 : 0;
            heldPieces -= request.pieces;
            recordLoad();
        }
    }

    void startExport(EngineRequest request, String handle) {
        request.phase = EngineRequest.Phase.EXPORT;
        request.handle = handle;
        heldSlots--;
        recordLoad();
    }

    Optional<EngineRequest> findExport(String handle) {
        return inPhase(EngineRequest.Phase.EXPORT).stream()
                .filter(r -> r.handle.equals(handle))
                .findFirst();
    }

    List<EngineRequest> withId(String requestId) {
        return requests.stream().filter(r -> r.requestId.equals(requestId)).toList();
    }

    List<EngineRequest> inPhase(EngineRequest.Phase phase) {
        return requests.stream().filter(r -> r.phase == phase).toList();
    }

    /** Returns the requests to prefill in this step, lowest priority value first. */
    List<EngineRequest> prefillBatch() {
        return new ArrayList<>(
                inPhase(EngineRequest.Phase.PREFILL).stream()
                        .sorted(BY_PRIORITY)
                        .limit(settings.prefillBatch)
                        .toList());
    }

    EngineReplies.RequestListing requestListing() {
        return new EngineReplies.RequestListing(
                requests.stream()
                        .map(
                                r ->
                                        new EngineReplies.RequestInfo(
                                                r.requestId,
                                                r.phase.name().toLowerCase(Locale.ROOT),
                                                r.pieces))
                        .toList());
    }

    EngineReplies.Load load(long lagMillis) {
        return load.get(lagMillis);
    }

    int heldSlots() {
        return heldSlots;
    }

    int heldPieces() {
        return heldPieces;
    }

    void recordLoad() {
        long queuedTokens = requests.stream().mapToLong(r -> r.prefillTokensLeft).sum();
        load.set(
                new EngineReplies.Load(
                        settings.requestSlots - heldSlots,
                        settings.kvPieces - heldPieces,
                        queuedTokens));
    }
}
