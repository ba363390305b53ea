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
 * Requests the manifest and the instance list from configured sidecars, for an entry that starts
 * while the platform does not respond.
 *
 * <p>Requests are sent only while the entry lacks one of the two. Each connection is short-lived;
 * the permanent one belongs to the {@link SidecarRegistry}. Thread-safe.
 */
final class SeedDiscovery {

    private static final long PERIOD_MILLIS = 1_000;
    private static final long CONNECTION_LIFETIME_MILLIS = 1_000;

    private final FrameClient client;
    private final TimerService timer;
    private final ManifestHolder manifests;
    private final SidecarRegistry sidecars;
    private final List<InetSocketAddress> addresses;
    private final Set<InetSocketAddress> contactedAddresses = ConcurrentHashMap.newKeySet();

    SeedDiscovery(
            FrameClient client,
            TimerService timer,
            ManifestHolder manifests,
            SidecarRegistry sidecars,
            List<InetSocketAddress> addresses) {
        this.client = client;
        this.timer = timer;
        this.manifests = manifests;
        this.sidecars = sidecars;
        this.addresses = List.copyOf(addresses);
    }

    void start() {
        if (!addresses.isEmpty()) {
            timer.every(PERIOD_MILLIS, this::requestIfNeeded);
        }
    }

    private void requestIfNeeded() {
        if (manifests.version() > 0 && sidecars.instanceListing().asOfEpochMillis() > 0) {
            return;
        }
        for (InetSocketAddress address : addresses) {
            if (contactedAddresses.add(address)) {
                client.connect(address, new SeedListener(address));
            }
        }
    }

    /** Requests both from one seed. */
    private final class SeedListener implements Connection.Listener {
        private final InetSocketAddress address;

        SeedListener(InetSocketAddress address) {
            this.address = address;
        }

        @Override
        public void onOpen(Connection connection, Connection.Peer peer) {
            sidecars.offerSeed(peer.name(), address);
            connection.send(new Message.ManifestRequest(manifests.version()));
            connection.send(
                    new Message.InstanceListingRequest(
                            sidecars.instanceListing().asOfEpochMillis()));
            timer.once(CONNECTION_LIFETIME_MILLIS, connection::close);
        }

        @Override
        public void onMessage(Connection connection, Message message) {
            if (message instanceof Message.ManifestDocument document) {
                manifests.applyIfNewer(document.version(), document.document());
            } else if (message instanceof Message.InstanceListingDocument document) {
                InstanceListing.parse(document.asOfEpochMillis(), document.document())
                        .ifPresent(sidecars::offerInstanceList);
            }
        }

        @Override
        public void onClose(Connection connection, String reason) {
            contactedAddresses.remove(address);
        }
    }
}
