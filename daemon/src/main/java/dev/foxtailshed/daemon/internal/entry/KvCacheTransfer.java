package dev.foxtailshed.daemon.internal.entry;

import dev.foxtailshed.kernel.routing.TransferLinkTracker;
import dev.foxtailshed.wire.Message;

/**
 * A transfer of a KV cache to a decode server, from the commit to its end.
 *
 * @param transferLink the tracker of the server's transfer link, which the measured time updates
 * @param bytes the bytes to transfer, including the backlog queued before them
 * @param bytesPerSecond the rate of the link according to the manifest
 * @param startMillis when the decode work was committed
 */
record KvCacheTransfer(
        TransferLinkTracker transferLink, long bytes, long bytesPerSecond, long startMillis) {

    static KvCacheTransfer begin(
            SidecarConnection connection,
            ResolvedModelRequest request,
            Message.Prefilled prefilled,
            long nowMillis) {
        long backlogBytes =
                connection.report().map(Message.LoadReport::linkBacklogBytes).orElse(0L);
        return new KvCacheTransfer(
                connection.transferLink(),
                backlogBytes + prefilled.export().sizeBytes(),
                request.decodePool().linkBytesPerSecond(),
                nowMillis);
    }

    /**
     * Updates the tracker of the link when the transfer has ended, with the first token or with the
     * engine's error that the KV cache was evicted.
     */
    void recordEnd(long nowMillis) {
        transferLink.observe(bytes, bytesPerSecond, nowMillis - startMillis, nowMillis);
    }
}
