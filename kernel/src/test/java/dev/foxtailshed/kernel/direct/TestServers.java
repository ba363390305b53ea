package dev.foxtailshed.kernel.direct;

import dev.foxtailshed.kernel.direct.DirectServer.Stage;
import java.util.Optional;

/** Creates servers for tests. */
final class TestServers {

    private TestServers() {}

    static DirectServer plain(String id, String zone) {
        return new DirectServer(id, 1, "app", "10.0.0.1:80", zone, 6, false, Optional.empty(), 0);
    }

    static DirectServer model(String id, Stage stage) {
        String address = id + ":80";
        return new DirectServer(id, 1, "llm", address, "a", 48, false, Optional.of(stage), 0);
    }

    static DirectServer draining(DirectServer server) {
        return new DirectServer(
                server.id(),
                server.startedEpochMillis(),
                server.service(),
                server.address(),
                server.zone(),
                server.slots(),
                true,
                server.stage(),
                0);
    }

    static DirectServer restarted(DirectServer server) {
        return restarted(server, server.id());
    }

    static DirectServer restarted(DirectServer server, String id) {
        return new DirectServer(
                id,
                server.startedEpochMillis() + 1,
                server.service(),
                server.address(),
                server.zone(),
                server.slots(),
                false,
                server.stage(),
                0);
    }
}
