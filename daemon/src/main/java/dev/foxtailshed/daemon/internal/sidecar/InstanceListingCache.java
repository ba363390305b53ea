package dev.foxtailshed.daemon.internal.sidecar;

import dev.foxtailshed.wire.Message.InstanceListingDocument;
import dev.foxtailshed.wire.Message.InstanceListingRequest;
import java.util.List;

/**
 * The platform's list of instances as the entries told it, kept for entries that start while the
 * platform does not answer. Confined to the executor.
 */
final class InstanceListingCache {

    private static final int TICKS_PER_REFRESH = 10;

    private InstanceListingDocument held = new InstanceListingDocument(0, new byte[0]);
    private int ticks;
    private int asked;

    /** Asks one entry after the other, so that a change costs each sidecar one answer. */
    void tick(List<EntryConnection> links) {
        ticks++;
        boolean due = held.asOfEpochMillis() == 0 || ticks % TICKS_PER_REFRESH == 0;
        if (due && !links.isEmpty()) {
            EntryConnection link = links.get(Math.floorMod(asked++, links.size()));
            link.send(new InstanceListingRequest(held.asOfEpochMillis()));
        }
    }

    void take(InstanceListingDocument document) {
        if (document.asOfEpochMillis() > held.asOfEpochMillis()) {
            held = document;
        }
    }

    void answer(EntryConnection link, InstanceListingRequest request) {
        if (held.asOfEpochMillis() > request.newerThanEpochMillis()) {
            link.send(held);
        }
    }
}
