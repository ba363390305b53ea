package dev.foxtailshed.daemon.internal.sidecar;

import dev.foxtailshed.wire.Message.InstanceListingDocument;
import dev.foxtailshed.wire.Message.InstanceListingRequest;
import java.util.List;

/**
 * Caches the platform's instance list as received from entries, for entries that start while the
 * platform is unavailable. Confined to the sidecar's executor.
 */
final class InstanceListingCache {

    private static final int TICKS_PER_REFRESH = 10;

    private InstanceListingDocument latest = new InstanceListingDocument(0, new byte[0]);
    private int ticks;
    private int requestCount;

    /**
     * Requests the list from one entry at a time, in turn, so that a change costs each sidecar only
     * one response.
     */
    void tick(List<EntryConnection> entries) {
        ticks++;
        boolean isDue = latest.asOfEpochMillis() == 0 || ticks % TICKS_PER_REFRESH == 0;
        if (isDue && !entries.isEmpty()) {
            EntryConnection entry = entries.get(Math.floorMod(requestCount++, entries.size()));
            entry.send(new InstanceListingRequest(latest.asOfEpochMillis()));
        }
    }

    void update(InstanceListingDocument document) {
        if (document.asOfEpochMillis() > latest.asOfEpochMillis()) {
            latest = document;
        }
    }

    void respond(EntryConnection entry, InstanceListingRequest request) {
        if (latest.asOfEpochMillis() > request.newerThanEpochMillis()) {
            entry.send(latest);
        }
    }
}
