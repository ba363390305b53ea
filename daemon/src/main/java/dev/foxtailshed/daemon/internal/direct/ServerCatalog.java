package dev.foxtailshed.daemon.internal.direct;

import dev.foxtailshed.kernel.direct.DirectServer;
import dev.foxtailshed.kernel.direct.DirectServer.Stage;
import dev.foxtailshed.kernel.direct.StorePosition;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;

/**
 * An immutable snapshot of the backend servers that may get new requests.
 *
 * <p>Each change of the servers creates a new catalog.
 *
 * @param position the store's position at which the servers were read
 * @param readMillis the time of the read, on the timer's clock
 * @param byService the usable servers by service
 * @param drainingByService the draining servers by service
 */
record ServerCatalog(
        StorePosition position,
        long readMillis,
        Map<String, List<DirectServer>> byService,
        Map<String, List<DirectServer>> drainingByService) {

    static final ServerCatalog EMPTY = new ServerCatalog(StorePosition.NONE, 0, Map.of(), Map.of());

    static ServerCatalog of(
            StorePosition position,
            long readMillis,
            List<DirectServer> servers,
            List<DirectServer> draining) {
        return new ServerCatalog(position, readMillis, byService(servers), byService(draining));
    }

    private static Map<String, List<DirectServer>> byService(List<DirectServer> servers) {
        return servers.stream().collect(Collectors.groupingBy(DirectServer::service));
    }

    List<DirectServer> draining(String service) {
        return drainingByService.getOrDefault(service, List.of());
    }

    List<DirectServer> forService(String service) {
        return byService.getOrDefault(service, List.of());
    }

    List<DirectServer> forService(String service, Stage stage) {
        return forService(service).stream()
                .filter(s -> s.stage().equals(Optional.of(stage)))
                .toList();
    }

    /**
     * Returns the servers of a service that generate tokens: all but prefill servers, since servers
     * without a stage do both.
     */
    List<DirectServer> decodeCapable(String service) {
        return forService(service).stream()
                .filter(s -> !s.stage().equals(Optional.of(Stage.PREFILL)))
                .toList();
    }

    List<DirectServer> all() {
        return byService.values().stream().flatMap(List::stream).toList();
    }
}
