package dev.foxtailshed.daemon.internal.entry;

import dev.foxtailshed.kernel.routing.TransferLinkTracker;
import dev.foxtailshed.wire.Message;

/**
 * One KV cache on its way to a decode server, from the order to its end.
 *
 * @param transferLink what is known of the server's link
 * @param bytes what goes over the link, the backlog before it included
 * @param bytesPerSecond the rate of the link
 * @param startMillis when it was ordered
 */
record KvCacheTransfer(
        TransferLinkTracker transferLink, long bytes, long bytesPerSecond, long startMillis) {

    static KvCacheTransfer begin(
            SidecarConnection link,
            ResolvedModelRequest task,
            Message.Prefilled prefilled,
            long nowMillis) {
        long backlogBytes = link.report().map(Message.LoadReport::linkBacklogBytes).orElse(0L);
        return new KvCacheTransfer(
                link.transferLink(),
                backlogBytes + prefilled.export().sizeBytes(),
                task.decodePool().linkBytesPerSecond(),
                nowMillis);
    }

    /** Learns from the first token, or from the engine that found the KV cache evicted. */
    void ended(long nowMillis) {
        transferLink.observe(bytes, bytesPerSecond, nowMillis - startMillis, nowMillis);
    }
}
