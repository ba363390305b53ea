package dev.foxtailshed.daemon.internal.entry;

import dev.foxtailshed.daemon.internal.manifest.ManifestHolder;
import dev.foxtailshed.daemon.internal.platform.InstanceListing;
import dev.foxtailshed.kernel.TimerService;
import dev.foxtailshed.wire.Connection;
import dev.foxtailshed.wire.FrameClient;
import dev.foxtailshed.wire.Message;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Asks known sidecars for the manifest and the list of instances, for an entry that starts while
 * the platform does not answer.
 *
 * <p>It asks only while the entry lacks one of the two. Each connection is short: the lasting one
 * is the {@link SidecarRegistry}'s. Thread-safe.
 */
final class SeedDiscovery {

    private static final long PERIOD_MILLIS = 1_000;
    private static final long CONNECTION_MILLIS = 1_000;

    private final FrameClient client;
    private final TimerService timer;
    private final ManifestHolder manifests;
    private final SidecarRegistry fleet;
    private final List<InetSocketAddress> addresses;
    private final Set<InetSocketAddress> asked = ConcurrentHashMap.newKeySet();

    SeedDiscovery(
            FrameClient client,
            TimerService timer,
            ManifestHolder manifests,
            SidecarRegistry fleet,
            List<InetSocketAddress> addresses) {
        this.client = client;
        this.timer = timer;
        this.manifests = manifests;
        this.fleet = fleet;
        this.addresses = List.copyOf(addresses);
    }

    void start() {
        if (!addresses.isEmpty()) {
            timer.every(PERIOD_MILLIS, this::askIfNeeded);
        }
    }

    private void askIfNeeded() {
        if (manifests.version() > 0 && fleet.roster().asOfEpochMillis() > 0) {
            return;
        }
        for (InetSocketAddress address : addresses) {
            if (asked.add(address)) {
                client.connect(address, new SeedListener(address));
            }
        }
    }

    /** Asks one seed for both. */
    private final class SeedListener implements Connection.Listener {
        private final InetSocketAddress address;

        SeedListener(InetSocketAddress address) {
            this.address = address;
        }

        @Override
        public void onOpen(Connection connection, Connection.Peer peer) {
            fleet.offerSeed(peer.name(), address);
            connection.send(new Message.ManifestRequest(manifests.version()));
            connection.send(new Message.InstanceListingRequest(fleet.roster().asOfEpochMillis()));
            timer.once(CONNECTION_MILLIS, connection::close);
        }

        @Override
        public void onMessage(Connection connection, Message message) {
            if (message instanceof Message.ManifestDocument document) {
                manifests.applyIfNewer(document.version(), document.document());
            } else if (message instanceof Message.InstanceListingDocument document) {
                InstanceListing.parse(document.asOfEpochMillis(), document.document())
                        .ifPresent(fleet::offerRoster);
            }
        }

        @Override
        public void onClose(Connection connection, String reason) {
            asked.remove(address);
        }
    }
}
