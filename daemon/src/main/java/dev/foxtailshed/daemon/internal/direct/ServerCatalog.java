package dev.foxtailshed.daemon.internal.direct;

import dev.foxtailshed.kernel.direct.DirectServer;
import dev.foxtailshed.kernel.direct.DirectServer.Stage;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;

/**
 * The servers that may get new requests, by service.
 *
 * <p>Immutable; a change publishes a new catalogue.
 *
 * @param revision the store's revision at which it was read
 * @param readMillis when it was read
 * @param byService the servers by service
 * @param leavingByService servers that announced that they leave, by service
 */
record ServerCatalog(
        long revision,
        long readMillis,
        Map<String, List<DirectServer>> byService,
        Map<String, List<DirectServer>> leavingByService) {

    static final ServerCatalog EMPTY = new ServerCatalog(0, 0, Map.of(), Map.of());

    static ServerCatalog of(
            long revision,
            long readMillis,
            List<DirectServer> servers,
            List<DirectServer> leaving) {
        return new ServerCatalog(revision, readMillis, byService(servers), byService(leaving));
    }

    private static Map<String, List<DirectServer>> byService(List<DirectServer> servers) {
        return servers.stream().collect(Collectors.groupingBy(DirectServer::service));
    }

    List<DirectServer> leaving(String service) {
        return leavingByService.getOrDefault(service, List.of());
    }

    List<DirectServer> of(String service) {
        return byService.getOrDefault(service, List.of());
    }

    List<DirectServer> of(String service, Stage stage) {
        return of(service).stream().filter(s -> s.stage().equals(Optional.of(stage))).toList();
    }

    /** Returns the servers that generate tokens; those without stages do both. */
    List<DirectServer> generating(String service) {
        return of(service).stream()
                .filter(s -> !s.stage().equals(Optional.of(Stage.PREFILL)))
                .toList();
    }

    List<DirectServer> all() {
        return byService.values().stream().flatMap(List::stream).toList();
    }
}
